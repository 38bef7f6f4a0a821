package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// ticker is a store's clock that was read a while ago.
type ticker struct{ tick platform.ClockReading }

func (t *ticker) ClockReading() (platform.ClockReading, bool) { return t.tick, true }

// Owners that come one after another and don't reach an executor agree on when its
// leases end: not before they do, and not much later with each of them.
func TestLapsesPassFromOwnerToOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		const lost = "lost"
		began := time.Unix(1_800_000_000, 0)
		clock := timer.New(timer.WithManual(began))
		store := time.Hour // what the store's clock shows
		var closed board.Closed
		settled := 10 * time.Second
		end := settled // of the leases, from the first owner's beginning
		passed := time.Duration(0)
		for range rapid.IntRange(1, 6).Draw(t, "owners") {
			reading := &ticker{}
			o := New(Parts{Host: "h", Clock: clock, StoreClock: reading})
			read := func() {
				way := time.Duration(rapid.Int64Range(0, int64(50*time.Millisecond)).Draw(t, "way"))
				asked := clock.Boot()
				clock.Advance(way)
				store, passed = store+way, passed+way
				reading.tick = platform.ClockReading{Now: store, Sent: asked, Received: clock.Boot()}
			}
			read()
			tm, _ := newTerm()
			tm.owner, tm.began, tm.settled = o, clock.Now(), settled
			tm.agents[lost] = &agent{term: tm, info: model.Executor{ID: lost}, silent: true}
			tm.inherit(closed, clock.Now())
			if by := tm.lapseTime(lost); by.Before(began.Add(end)) {
				t.Fatalf("taken for ended %v early", began.Add(end).Sub(by))
			}
			is.True(tm.lapseTime(lost).Before(began.Add(end + 2*time.Second)))
			rest := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "rest"))
			clock.Advance(rest)
			store, passed = store+rest, passed+rest
			read()
			closed = board.Closed{Executors: []string{lost}, Lapses: tm.lapses([]string{lost}, clock.Now())}
		}
	})
}

package fence

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/lease"
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
)

const testTerm = 3 * time.Second

// zone is a set of placers that compete for one endpoint.
type zone struct {
	timer   *timer.Service
	memory  *store.Memory
	placers []*placer
}

// placer is one placer of the zone; it implements Table and Others.
type placer struct {
	*zone
	name         string
	guard        *Guard
	term         lease.Term
	epoch        uint64
	platformDown bool // can't reach the platform
	peersCut     bool // can't reach the other placers
	lostAnswers  int  // how many answers of writes to lose
}

func newZone(n int) *zone {
	z := &zone{timer: timer.New(timer.WithManual(time.Unix(0, 0)))}
	z.timer.Advance(time.Hour)
	z.memory = store.New(store.WithTimer(z.timer))
	for i := range n {
		p := &placer{zone: z, name: string(rune('a' + i))}
		p.restart()
		z.placers = append(z.placers, p)
	}
	return z
}

func (p *placer) restart() {
	p.guard = New(p, p.timer, p, testTerm)
	p.term = lease.Term{}
}

// Get implements Table.
func (p *placer) Get(ctx context.Context, table, key string) (store.Row, error) {
	if p.platformDown {
		return store.Row{}, &store.UnavailableError{Op: "get"}
	}
	return p.memory.Get(ctx, table, key)
}

// Commit implements Table.
func (p *placer) Commit(ctx context.Context, ops []store.Op) error {
	if p.platformDown {
		return &store.UnavailableError{Op: "commit", Unsent: true}
	}
	err := p.memory.Commit(ctx, ops)
	if p.lostAnswers > 0 {
		p.lostAnswers--
		return &store.UnavailableError{Op: "commit"}
	}
	return err
}

// Promise implements Others.
func (p *placer) Promise(_ context.Context, endpoint string, length time.Duration) bool {
	for _, o := range p.placers {
		if o != p && (p.peersCut || o.peersCut || !o.guard.Promise(endpoint, length)) {
			return false
		}
	}
	return true
}

func (p *placer) owner() point.Owner { return point.Owner{Holder: p.name, Epoch: p.epoch} }

// act takes, renews or releases the term.
func (p *placer) act(release bool) {
	ctx := context.Background()
	switch {
	case p.term.Length() == 0:
		p.epoch++
		if term, ok := p.guard.Permit(ctx, "w", p.owner()); ok {
			p.term = term
		}
	case release:
		p.guard.Release(ctx, "w", p.owner())
		p.term = lease.Term{}
	default:
		term, err := p.guard.Renew(ctx, "w", p.owner())
		if err == nil {
			p.term = term
		} else if !p.term.Valid(p.timer.Boot()) {
			p.term = lease.Term{}
			p.guard.Release(ctx, "w", p.owner())
		}
	}
}

func (z *zone) valid() (names string) {
	for _, p := range z.placers {
		if p.term.Valid(z.timer.Boot()) {
			names += p.name
		}
	}
	return names
}

// At most one placer has a valid term at a time, although answers are lost,
// connections fail, and placers are restarted or paused.
func TestOneTermAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z := newZone(3)
		for range rapid.IntRange(1, 200).Draw(t, "acts") {
			p := z.placers[rapid.IntRange(0, 2).Draw(t, "placer")]
			switch rapid.IntRange(0, 12).Draw(t, "act") {
			case 0:
				p.platformDown = !p.platformDown
			case 1:
				p.peersCut = !p.peersCut
			case 2:
				p.lostAnswers = rapid.IntRange(0, 2).Draw(t, "lose")
			case 3:
				if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
					p.restart()
				}
			case 4, 5, 6:
				z.timer.Advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			default:
				p.act(rapid.IntRange(0, 9).Draw(t, "release") == 0)
			}
			if names := z.valid(); len(names) > 1 {
				t.Fatalf("%s have valid terms at the same time", names)
			}
		}
	})
}

func TestPromisesStandInForThePlatform(t *testing.T) {
	is := is.New(t)
	z := newZone(3)
	a, b := z.placers[0], z.placers[1]
	a.act(false)
	is.Equal(z.valid(), "a")
	a.platformDown = true
	for range 10 {
		z.timer.Advance(time.Second)
		a.act(false)
		b.act(false)
		is.Equal(z.valid(), "a") // the other placers give promises and keep them
	}
	z.placers[2].peersCut = true
	for range 12 { // the last promise expires, then a term passes without a write
		z.timer.Advance(time.Second)
		a.act(false)
		b.act(false)
	}
	is.Equal(z.valid(), "b") // without all promises a lost the term, and b took it afterwards
}

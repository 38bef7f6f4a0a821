package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/platform"
)

// heldStore is a Store that holds each watch for its wait and delay more, and then notes whether
// its Follower counts as failing.
type heldStore struct {
	Store
	clock    *timer.Service
	follower *Follower
	delay    time.Duration
	failing  bool
}

func (s *heldStore) Watch(_ string, after int64, wait time.Duration) ([]platform.Row, int64, error) {
	s.clock.Advance(wait + s.delay)
	s.failing = s.follower.Failing()
	return nil, after, nil
}

// While a table doesn't change, what is known of it gets as old as two long polls. A host that took
// that for a failure would refuse clients, and the balancer would take it out of rotation.
func TestIdleTableIsNotFailing(t *testing.T) {
	tests := map[string]struct {
		delay   time.Duration
		failing bool
	}{
		"answer in time": {delay: overdueAfter},
		"late answer":    {delay: overdueAfter + time.Millisecond, failing: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &heldStore{clock: timer.New(timer.WithManual(time.Unix(1_800_000_000, 0))), delay: tt.delay}
			store.clock.Advance(time.Hour)
			store.follower = New(store, store.clock, "t", []string{""}, &collector{})
			is.True(store.follower.Failing()) // Nothing is known yet.
			for range 2 {
				sentAt, sentBoot := store.clock.Now(), store.clock.Boot()
				_, _, err := store.follower.poll(1, true)
				is.NoErr(err)
				store.follower.markSynced(sentAt, sentBoot, 0, 1)
				is.True(!store.follower.Failing())
			}
			is.Equal(store.failing, tt.failing)
		})
	}
}

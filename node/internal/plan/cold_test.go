package plan

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// setCold changes for how long the odd executor is cold.
func (u *uneven) setCold(cold time.Duration) {
	info := u.state.executors["odd"].info
	info.Cold = cold
	u.state.SetExecutor(info)
}

// The evacuation of a zone ends, and its executors are cold: their tasks take three times as long.
// They count as slow once that was learned, until the time of their entries has passed. Neither
// their kind nor their own record is changed by it, and nothing is assumed before.
func TestColdExecutors(t *testing.T) {
	tests := map[string]struct {
		rounds int
		later  time.Duration
		slow   int
	}{
		"nothing learned":  {},
		"too little":       {rounds: 1},
		"learned":          {rounds: 8, slow: 1},
		"the time is over": {rounds: 8, later: time.Minute},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &uneven{fixture: newFixture(), now: epoch}
			u.addReady("warm", "odd")
			u.setCold(50 * time.Second)
			for range tt.rounds {
				u.round(3, false)
			}
			u.now = u.now.Add(tt.later)
			u.state.Decide(u.now)
			is.Equal(u.state.CountSlow(u.now), tt.slow)
			is.Equal(u.state.slowdown(u.state.executors["odd"]), 1.0)
			is.Equal(u.state.executors["odd"].track.excess, 0.0)
		})
	}
}

// An executor is cold from the first decision after its entry for the time that this gives, and
// no longer if a later entry says so. A new life isn't cold before its own entry says so.
func TestColdTimeOfEntry(t *testing.T) {
	tests := map[string]struct {
		change func(u *uneven)
		cold   time.Duration // of the 5 s after the change
	}{
		"no change":   {change: func(*uneven) {}, cold: 3 * time.Second},
		"warm now":    {change: func(u *uneven) { u.setCold(0) }},
		"longer":      {change: func(u *uneven) { u.setCold(4 * time.Second) }, cold: 4 * time.Second},
		"another one": {change: func(u *uneven) { u.state.NewIncarnation(epoch, "odd") }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := &uneven{fixture: newFixture()}
			u.addReady("odd")
			u.setCold(4 * time.Second)
			u.state.Decide(epoch)
			now := epoch.Add(time.Second)
			tt.change(u)
			u.state.Decide(now)
			is.Equal(u.state.executors["odd"].coldTime(now, now.Add(5*time.Second)), tt.cold)
		})
	}
}

// A step lies in one zone, so that all of its runs may be on cold executors. Their slowness is
// then learned from the estimates and how they compare with the run times of warm executors.
func TestColdIsLearnedWithoutWarmRuns(t *testing.T) {
	is := is.New(t)
	u := &uneven{fixture: newFixture(), now: epoch}
	u.addReady("odd")
	u.round(1.5, false)
	u.setCold(time.Hour)
	u.round(3, false)
	u.round(3, false)
	is.Equal(u.state.coldSlowdown(u.state.executors["odd"], u.now), 2.0)
}

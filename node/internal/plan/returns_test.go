package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
)

// addZone adds executors of a zone that have reported.
func (f *fixture) addZone(zone string, n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-%d", zone, i)
		f.state.SetExecutor(model.Executor{ID: ids[i], Service: "s", Zone: zone, Room: fullExecutor})
		f.state.Reported(epoch, ids[i], Report{RequestedAt: epoch})
	}
	f.state.AllExecutorsListed(epoch)
	return ids
}

// record writes the record of closed executors if it differs, and returns how many it names.
func (f *fixture) record() (named int, written bool) {
	closed, unverified, differs := f.state.Closed()
	if differs {
		f.state.RecordingClosed(closed)
		f.state.ClosedRecorded(closed, unverified)
	}
	return len(closed), differs
}

// The 117 executors of a zone that was cut off answered again one after another, and each write opened those that had
// answered before it. They got work in portions, over 1.5 s.
func TestZoneOpensWithOneWrite(t *testing.T) {
	tests := map[string]struct {
		back  int           // executors that answer before the write
		later time.Duration // when the others do
		named int           // by the record after that
	}{
		"all at once":         {back: 117, named: 0},
		"one before the rest": {back: 1, later: time.Second, named: 0},
		"the rest stays away": {back: 1, later: returnTime, named: 116},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			ids := f.addZone("z", 117)
			f.addZone("other", 117)
			for _, id := range ids {
				f.state.Silent(epoch, id)
			}
			f.state.Silent(epoch, "other-0") // A single executor stays closed all the time.
			named, _ := f.record()
			is.Equal(named, 118)
			now := epoch.Add(10 * time.Second)
			for _, id := range ids[:tt.back] {
				f.state.Reported(now, id, Report{RequestedAt: now})
			}
			is.Equal(f.state.CountExclusions(now)[Closed], tt.back) // The record must not name it.
			named, written := f.record()
			is.True(written)
			is.Equal(named, 1)
			now = now.Add(tt.later)
			f.state.Decide(now)
			if tt.named == 0 {
				for _, id := range ids[tt.back:] {
					f.state.Reported(now, id, Report{RequestedAt: now})
				}
				is.Equal(f.state.CountExclusions(now), map[Exclusion]int{Unresponsive: 1})
			}
			named, written = f.record()
			is.Equal(named, tt.named+1)
			is.Equal(written, tt.named > 0)
		})
	}
}

// Links that come and go must not keep a zone from being recorded, and a few executors that fail don't count as a zone.
func TestZoneThatFlapsIsRecorded(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	ids := f.addZone("z", 10)
	now := epoch
	writes := 0
	for range 24 { // 12 s
		for _, id := range ids {
			f.state.Silent(now, id)
		}
		named, written := f.record()
		if written {
			writes++
		}
		is.True(named == 10 || now.Sub(epoch) < returnTime)
		f.state.Reported(now, ids[0], Report{RequestedAt: now})
		now = now.Add(500 * time.Millisecond)
		f.state.Decide(now)
	}
	is.True(writes <= 3)
	for _, id := range ids[:5] { // Half of the zone.
		f.state.Reported(now, id, Report{RequestedAt: now})
	}
	now = now.Add(returnPause)
	f.state.Decide(now)
	f.record()
	f.state.Reported(now, ids[5], Report{RequestedAt: now})
	is.True(!f.state.Returning("z"))
}

// All runs on an executor that the record names as closed must be recorded, also while zones are cut off and return.
func TestReturningZoneRunsOnlyWhatIsRecorded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		checkClosedRuns(t, f, f.addZone("z", minReturning+1), "job", "job", "cut", "answers", "answers", "later", "write", "write")
	})
}

package route

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func makePlacers(zones, perZone int) []Placer {
	var out []Placer
	for z := range zones {
		for i := range perZone {
			out = append(out, Placer{Name: fmt.Sprintf("%d-%d", z, i), Zone: fmt.Sprint(z)})
		}
	}
	return out
}

// TestCallsPerPollAreBounded checks that the number of calls per poll is
// bounded whatever the number of hosts, and that all placers of this zone are
// polled within localPeriod.
func TestCallsPerPollAreBounded(t *testing.T) {
	tests := map[string]struct{ zones, perZone int }{
		"one host":  {1, 1},
		"today":     {4, 2},
		"200 hosts": {9, 22},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newPollSchedule("0", makePlacers(tt.zones, tt.perZone))
			seen := make(map[string]bool)
			for range r.localPeriod() / pollPeriod {
				asked := r.next(func(string) bool { return false })
				is.True(len(asked) <= maxLocalPolls+maxRemotePolls)
				for _, p := range asked {
					seen[p.Name] = true
				}
			}
			for i := range tt.perZone {
				is.True(seen[fmt.Sprintf("0-%d", i)])
			}
		})
	}
}

func TestUnreachableRemotePlacerIsReplaced(t *testing.T) {
	is := is.New(t)
	r := newPollSchedule("0", makePlacers(2, 3))
	good := func(string) bool { return false }
	first := r.watchedRemote(good)
	is.Equal(len(first), remoteWatchedPerZone)
	dead := first[0].Name
	for _, p := range r.watchedRemote(func(name string) bool { return name == dead }) {
		is.True(p.Name != dead)
	}
	is.Equal(len(r.watchedRemote(func(string) bool { return true })), 1) // One placer is polled even if all are unreachable.
}

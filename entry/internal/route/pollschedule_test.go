package route

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

func cellOf(zones, perZone int) []Placer {
	var out []Placer
	for z := range zones {
		for i := range perZone {
			out = append(out, Placer{Name: fmt.Sprintf("%d-%d", z, i), Zone: fmt.Sprint(z)})
		}
	}
	return out
}

// TestQuestionsDoNotGrowWithTheCell shows that a poll asks as many at 200
// hosts as at 8, and that all of the own zone are asked in time.
func TestQuestionsDoNotGrowWithTheCell(t *testing.T) {
	tests := map[string]struct{ zones, perZone int }{
		"one host":  {1, 1},
		"today":     {4, 2},
		"200 hosts": {9, 22},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRounds("0", cellOf(tt.zones, tt.perZone))
			seen := make(map[string]bool)
			for range r.nearPeriod() / pollPeriod {
				asked := r.next(func(string) bool { return false })
				is.True(len(asked) <= nearAsked+farAsked)
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

func TestFarPlacerIsReplaced(t *testing.T) {
	is := is.New(t)
	r := newRounds("0", cellOf(2, 3))
	good := func(string) bool { return false }
	first := r.watched(good)
	is.Equal(len(first), farWatched)
	dead := first[0].Name
	for _, p := range r.watched(func(name string) bool { return name == dead }) {
		is.True(p.Name != dead)
	}
	is.Equal(len(r.watched(func(string) bool { return true })), 1) // somebody is asked all the same
}

package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/platform/fake"
)

// A start in an evacuated zone is a violation once the bound has passed and all owners had to know
// of the evacuation, unless orders to the executor were held up. Other starts never are.
func TestStartsInEvacuatedZone(t *testing.T) {
	late := evacuationBound + time.Millisecond
	cut := func(h *host) { h.calm.active++; h.link.active++ }
	tests := map[string]struct {
		zone      string
		after     time.Duration
		prepare   func(hs *harness)
		violation bool
	}{
		"late":                 {zone: otherZone, after: late, violation: true},
		"within the bound":     {zone: otherZone, after: evacuationBound},
		"another zone":         {zone: fake.Zone, after: late},
		"row deleted":          {zone: otherZone, after: late, prepare: func(hs *harness) { hs.evacuations.end(otherZone) }},
		"orders held up":       {zone: otherZone, after: late, prepare: func(hs *harness) { hs.executors[0].calm.active++ }},
		"store away":           {zone: otherZone, after: late, prepare: func(hs *harness) { hs.storeUp.active++ }},
		"store slow":           {zone: otherZone, after: late, prepare: func(hs *harness) { hs.storeCalm.active++ }, violation: true},
		"no host calm":         {zone: otherZone, after: late, prepare: func(hs *harness) { cut(hs.hosts[0]); cut(hs.hosts[1]) }},
		"hosts killed":         {zone: otherZone, after: late, prepare: func(hs *harness) { hs.hosts[0].calm.active++; hs.hosts[1].calm.active++ }, violation: true},
		"one of the hosts cut": {zone: otherZone, after: late, prepare: func(hs *harness) { cut(hs.hosts[0]) }, violation: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			hs := &harness{evacuations: newEvacuations(), history: newHistory(), hosts: []*host{{}, {}}, executors: []*executor{{zone: tt.zone}}}
			is.True(hs.evacuations.reserve(otherZone))
			hs.noteKnown(time.Now().Add(time.Hour)) // It isn't acknowledged.
			is.True(!hs.evacuations.reserve(otherZone))
			began := time.Now()
			hs.evacuations.acknowledged(otherZone, began)
			if tt.prepare != nil {
				tt.prepare(hs)
			}
			hs.noteKnown(began.Add(stabilityTime))
			hs.storeUp.active++ // What is known stays known.
			hs.judgeStart("run", hs.executors[0], began.Add(tt.after))
			is.Equal(len(hs.history.violations) == 1, tt.violation)
			is.Equal(hs.evacuations.longestStart() > evacuationBound, tt.violation)
		})
	}
}

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
		"row not written yet":  {zone: otherZone, after: late, prepare: func(hs *harness) { hs.evacuations.acknowledged(otherZone, time.Time{}) }},
		"orders held up":       {zone: otherZone, after: late, prepare: func(hs *harness) { hs.executors[0].calm.active++ }},
		"store away":           {zone: otherZone, after: late, prepare: func(hs *harness) { hs.storeUp.active++ }},
		"store slow":           {zone: otherZone, after: late, prepare: func(hs *harness) { hs.storeCalm.active++ }, violation: true},
		"no host calm":         {zone: otherZone, after: late, prepare: func(hs *harness) { hs.cut(hs.hosts...) }},
		"one of the hosts cut": {zone: otherZone, after: late, prepare: func(hs *harness) { hs.cut(hs.hosts[0]) }, violation: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			hs := &harness{evacuations: newEvacuations(), history: newHistory(), hosts: []*host{{}, {}}, executors: []*executor{{zone: tt.zone}}}
			is.True(hs.evacuations.reserve(otherZone))
			is.True(!hs.evacuations.reserve(otherZone))
			began := time.Now()
			hs.evacuations.acknowledged(otherZone, began)
			if tt.prepare != nil {
				tt.prepare(hs)
			}
			hs.noteKnown(began.Add(stabilityTime))
			hs.storeUp.active++ // What is known stays known.
			hs.noteKnown(began.Add(evacuationBound))
			hs.judgeStart("run", hs.executors[0], began.Add(tt.after))
			is.Equal(len(hs.history.violations) == 1, tt.violation)
			is.Equal(hs.evacuations.longestStart() > evacuationBound, tt.violation)
		})
	}
}

// cut marks hosts as cut off from the store.
func (hs *harness) cut(hosts ...*host) {
	for _, h := range hosts {
		h.calm.active++
		h.link.active++
	}
}

// All owners have to know of an evacuation once all hosts could read the store for a while after
// the acknowledgement, also if they are killed meanwhile.
func TestEvacuationIsKnown(t *testing.T) {
	is := is.New(t)
	hs := &harness{evacuations: newEvacuations(), hosts: []*host{{}, {}}}
	hs.hosts[0].calm.active++
	hs.hosts[1].calm.active++
	is.True(hs.evacuations.reserve(otherZone))
	began := time.Now()
	known := func(after time.Duration) bool {
		hs.noteKnown(began.Add(after))
		return !hs.evacuations.zones[otherZone].known.IsZero()
	}
	is.True(!known(time.Hour)) // It isn't acknowledged.
	hs.evacuations.acknowledged(otherZone, began)
	is.True(!known(deliveryTime - 1))
	is.True(known(deliveryTime))
}

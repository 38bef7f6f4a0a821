package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/balsamford/balsamford/platform"
	"github.com/balsamford/balsamford/platform/fake"
)

const (
	// evacuationBound is the bound of the hosts' settings: the maximum time from the
	// acknowledgement of an evacuation until nothing starts in the zone.
	evacuationBound = 5 * time.Second
	// deliveryTime is the maximum time until an order that was held up is executed, after the
	// fault has ended.
	deliveryTime = time.Second
	// knownPeriod is the interval at which the harness finds out whether hosts know of evacuations.
	knownPeriod = 50 * time.Millisecond
	// otherZone is the zone of every third executor.
	otherZone = "y"
)

// evacuation is the evacuation of one zone.
type evacuation struct {
	since time.Time // when the row was acknowledged; the zero time before
	known time.Time // since when no owner may lack it; the zero time before
}

// evacuations tracks the zones that are being evacuated. It may be used concurrently.
type evacuations struct {
	mu      sync.Mutex // guards the fields below
	zones   map[string]evacuation
	longest time.Duration // from an acknowledgement until a start that faults don't excuse
}

func newEvacuations() *evacuations { return &evacuations{zones: make(map[string]evacuation)} }

// reserve reports whether a zone isn't being evacuated, and reserves it if so.
func (v *evacuations) reserve(zone string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, active := v.zones[zone]; active {
		return false
	}
	v.zones[zone] = evacuation{}
	return true
}

// acknowledged notes that the row of a reserved zone has been written.
func (v *evacuations) acknowledged(zone string, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.zones[zone] = evacuation{since: at}
}

// noteKnown notes at a time that all owners have had no fault for d that keeps them from
// knowing of evacuations.
func (v *evacuations) noteKnown(at time.Time, d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for zone, e := range v.zones {
		if !e.since.IsZero() && e.known.IsZero() && at.Sub(e.since) >= d {
			e.known = at
			v.zones[zone] = e
		}
	}
}

// end notes that the row of a zone is about to be deleted.
func (v *evacuations) end(zone string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.zones, zone)
}

// judge notes a start in a zone and returns how long after the acknowledgement it came. late
// is set if that is longer than evacuationBound. No start counts that may have been sent
// before all owners had to know of the evacuation.
func (v *evacuations) judge(zone string, at time.Time) (after time.Duration, late bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e := v.zones[zone]
	if e.known.IsZero() || at.Sub(e.known) < deliveryTime {
		return 0, false
	}
	after = at.Sub(e.since)
	v.longest = max(v.longest, after)
	return after, after > evacuationBound
}

// longestStart returns the longest time from an acknowledgement until a start that faults don't
// excuse.
func (v *evacuations) longestStart() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.longest
}

// noteKnown finds out whether all owners have to know of the present evacuations: the store has
// answered and all hosts could read it for deliveryTime, or a calm host could, for long enough to
// take over from any other. What they know they keep, whatever faults follow.
func (hs *harness) noteKnown(at time.Time) {
	reaching := !slices.ContainsFunc(hs.hosts, func(h *host) bool { return !h.link.atLeast(deliveryTime, at) })
	if reaching && hs.storeUp.atLeast(deliveryTime, at) {
		hs.evacuations.noteKnown(at, deliveryTime)
	}
	calmHost := slices.ContainsFunc(hs.hosts, func(h *host) bool { return h.calm.atLeast(stabilityTime, at) })
	if calmHost && hs.storeUp.atLeast(stabilityTime, at) {
		hs.evacuations.noteKnown(at, stabilityTime)
	}
}

// judgeStart checks that a start on an executor isn't later than an evacuation of its zone
// allows. It excuses starts on an executor that faults have held up orders to.
func (hs *harness) judgeStart(run string, e *executor, at time.Time) {
	if !e.calm.atLeast(deliveryTime, at) {
		return
	}
	if after, late := hs.evacuations.judge(e.zone, at); late {
		hs.history.recordViolation("%s started %v after the evacuation of zone %s was acknowledged", run, after.Round(time.Millisecond), e.zone)
	}
}

// evacuateZone writes the row that has a zone evacuated, and deletes it later. Rows beside it
// can't be read, or are for a zone without executors. Nothing happens if the zone is being
// evacuated already.
func (in *injector) evacuateZone() func() {
	zone, d := []string{fake.Zone, otherZone}[in.rand.IntN(2)], in.randomDuration(1000, 9000)
	beside := []string{platform.EvacuationKey(""), platform.EvacuationKey("nowhere")}[in.rand.IntN(2)]
	value := []string{"", "{", "null", "{}"}[in.rand.IntN(4)]
	return func() {
		hs := in.harness
		if !hs.evacuations.reserve(zone) {
			return
		}
		hs.history.recordFault("zone %s is evacuated for %v, beside the row %s: %q", zone, d, beside, value)
		hs.store.Put(platform.ConfigTable, beside, []byte(value))
		hs.store.Put(platform.ConfigTable, platform.EvacuationKey(zone), []byte("{}"))
		hs.evacuations.acknowledged(zone, time.Now())
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(knownPeriod) {
			hs.noteKnown(time.Now())
		}
		hs.evacuations.end(zone)
		hs.store.Put(platform.ConfigTable, platform.EvacuationKey(zone), nil)
		hs.store.Put(platform.ConfigTable, beside, nil)
	}
}

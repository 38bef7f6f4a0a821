package owner

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/platform"
)

// minOperatorsLag is the least lag of the operators' table for which starts are held back. A
// host that owns the cell confirms its copy each 0.3 to 0.6 s; with less than that, a short
// Bounds.Evacuate would end all starts.
const minOperatorsLag = time.Second

// applyEvacuations gives the zones that are being evacuated to the plan. The term's mu is held.
func (t *term) applyEvacuations() {
	zones := t.owner.configs.Evacuations()
	if slices.Equal(zones, t.evacuated) {
		return
	}
	t.evacuated = zones
	t.plan.SetEvacuated(zones)
	t.owner.logger.Info("evacuated zones", zap.Strings("zones", zones), zap.Int64("epoch", t.epoch))
}

// evacuating reports whether a zone is being evacuated, as far as this host knows now.
func (o *Owner) evacuating(zone string) bool {
	_, found := slices.BinarySearch(o.configs.Evacuations(), zone)
	return found
}

// evacuationsOutdated reports whether this host's copy of the operators' table is so old that
// an evacuation may be due which it lacks. Its age counts up to the last confirmation of
// ownership: an owner that the store confirms could read the table, and in an outage of the
// store no row is written. The rest of Bounds.Evacuate covers the time for which starts go on
// without a confirmation while the store answers others: two seconds and a takeover. The
// term's mu is held.
func (t *term) evacuationsOutdated() bool {
	if t.bounds.Evacuate <= 0 || t.owner.operators == nil {
		return false
	}
	return t.lastConfirmed()-t.owner.operators.SyncedBoot() > max(t.bounds.Evacuate/2, minOperatorsLag)
}

// noteUnknownZones logs and counts the evacuated zones in which no executor is known, once
// each while that is so. The evacuation holds for executors that appear there later. The
// term's mu is held.
func (t *term) noteUnknownZones() {
	if !t.entriesLoaded {
		return
	}
	known := make(map[string]bool)
	for _, sess := range t.sessions {
		known[sess.info.Zone] = true
	}
	unknown := make(map[string]bool)
	for _, zone := range t.evacuated {
		if known[zone] {
			continue
		}
		unknown[zone] = true
		if !t.unknownZones[zone] {
			t.owner.metrics.unknownZones.Inc(1)
			t.owner.logger.Warn("operators' row ignored", zap.String("key", platform.EvacuationKey(zone)), zap.String("cause", "no executor is known in the zone"), zap.Int64("epoch", t.epoch))
		}
	}
	t.unknownZones = unknown
}

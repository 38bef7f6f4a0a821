package config

import (
	"maps"
	"slices"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/platform"
)

// evacuations keeps the zones that operators have evacuated. Rows that can't be read change
// nothing: one that replaces a readable row leaves the evacuation in force.
type evacuations struct {
	logger    *zap.Logger
	rejected  metrics.Counter
	published atomic.Pointer[[]string] // the zones, sorted; nil before the first row

	// The fields below are used by the goroutine that receives rows only.
	zones   map[string]bool
	ignored map[string]int64 // versions of the rows that can't be read, by key
}

func newEvacuations(logger *zap.Logger, r metrics.Registry) *evacuations {
	e := &evacuations{logger: logger, rejected: metrics.GetOrRegisterCounter("node.config.rejected", r), zones: make(map[string]bool), ignored: make(map[string]int64)}
	_ = r.Register("node.config.evacuations", metrics.NewFunctionalGauge(func() int64 { return int64(len(e.sorted())) })) // Registered once.
	return e
}

// sorted returns the zones in order. The slice must not be changed.
func (e *evacuations) sorted() []string {
	if p := e.published.Load(); p != nil {
		return *p
	}
	return nil
}

// reset replaces the set by that of all rows of the table. A zone whose row is present and
// can't be read stays in the set.
func (e *evacuations) reset(rows []platform.Row) {
	next, ignored := make(map[string]bool), make(map[string]int64)
	for _, row := range rows {
		if !platform.IsEvacuation(row.Key) {
			continue
		}
		zone, err := parseEvacuation(row)
		if err != nil {
			e.noteIgnored(row, err)
			ignored[row.Key] = row.Version
		}
		if err == nil || e.zones[zone] {
			next[zone] = true
		}
	}
	e.ignored = ignored
	e.publish(next)
}

// change applies changed and deleted rows, in the order of their versions.
func (e *evacuations) change(rows []platform.Row) {
	next := maps.Clone(e.zones)
	for _, row := range rows {
		if !platform.IsEvacuation(row.Key) || row.Deleted && row.Part != "" {
			continue
		}
		zone, err := parseEvacuation(row)
		switch {
		case row.Deleted: // It has no value.
			delete(next, zone)
			delete(e.ignored, row.Key)
		case err != nil:
			e.noteIgnored(row, err)
			e.ignored[row.Key] = row.Version
		default:
			next[zone] = true
		}
	}
	e.publish(next)
}

// parseEvacuation decodes a row as platform.ParseEvacuation does. Rows of named partitions are
// invalid: hosts that read the whole table don't see them.
func parseEvacuation(row platform.Row) (string, error) {
	if row.Part != "" {
		return "", &platform.FormatError{What: "evacuation: in partition " + row.Part}
	}
	return platform.ParseEvacuation(row.Key, row.Value)
}

// noteIgnored logs and counts a row that can't be read, once for each of its versions.
func (e *evacuations) noteIgnored(row platform.Row, cause error) {
	if version, known := e.ignored[row.Key]; known && version == row.Version {
		return
	}
	e.rejected.Inc(1)
	e.logger.Warn("operators' row ignored", zap.String("key", row.Key), zap.NamedError("cause", cause))
}

// publish puts a set in force and logs how it differs from the last one.
func (e *evacuations) publish(next map[string]bool) {
	if e.published.Load() != nil && maps.Equal(e.zones, next) {
		return
	}
	for zone := range next {
		if !e.zones[zone] {
			e.logger.Info("evacuation in force", zap.String("zone", zone))
		}
	}
	for zone := range e.zones {
		if !next[zone] {
			e.logger.Info("evacuation ended", zap.String("zone", zone))
		}
	}
	e.zones = next
	sorted := slices.Sorted(maps.Keys(next))
	e.published.Store(&sorted)
}

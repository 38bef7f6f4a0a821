package load

import (
	"time"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/trial/judge"
)

// Keys returns the callers' keys among the configuration objects of set.
func Keys(set *config.Set) []judge.Key {
	keys := make([]judge.Key, 0)
	for _, t := range teamsOf(set) {
		keys = append(keys, judge.Key{Name: t.key, Team: t.name})
	}
	return keys
}

// Limits returns the teams' task limits among the configuration objects of set,
// in force from the zero time on.
func Limits(set *config.Set) []judge.Limit {
	limits := make([]judge.Limit, 0)
	for _, ref := range set.Refs() {
		if l, ok := set.Object(ref).(*config.Limit); ok && l.Tasks != nil {
			limits = append(limits, judge.Limit{Team: l.Team, Tasks: int(*l.Tasks), From: time.Time{}})
		}
	}
	return limits
}

// Queue returns the name of a queue of set that accepts requests of a kind and
// needs a key, or an empty string if there is none.
func Queue(set *config.Set, kind wire.Kind) string {
	queues, _ := queuesOf(set)
	return queues[kind]
}

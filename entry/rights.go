package main

import (
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/wire"
)

// rights answers who may do what, from the configuration in force.
type rights struct {
	follower *config.Follower
}

// fresh reports whether the configuration is confirmed.
func (r *rights) fresh() bool { return r.follower.Current() != nil && r.follower.Fresh() }

// Team implements serve.Config.
func (r *rights) Team(key string) (team, reason string) {
	if key == "" {
		return "", ""
	}
	if !r.fresh() {
		return "", wire.ReasonStale
	}
	return teamOf(r.follower.Current(), key)
}

// Check implements serve.Config.
func (r *rights) Check(key, queue string, kind wire.Kind) (team, reason string) {
	// Whether the version is confirmed is asked before it is read: one that
	// is replaced in between is then the newer one.
	honoured := r.follower.Honours(queue)
	snap := r.follower.Current()
	if snap == nil {
		return "", wire.ReasonStale
	}
	q, ok := snap.Queue(queue)
	switch {
	case ok && q.Open && q.Takes(kind):
		return "", ""
	case !honoured:
		return "", wire.ReasonStale
	case !ok || q.Open:
		return "", wire.ReasonQueue
	}
	team, reason = teamOf(snap, key)
	if reason == "" && (!q.Allows(team) || !q.Takes(kind)) {
		return "", wire.ReasonQueue
	}
	return team, reason
}

// Version implements serve.Config.
func (r *rights) Version() uint64 { return r.follower.Head().Version }

// teamOf returns the team of a caller's key.
func teamOf(snap *config.Snapshot, key string) (team, reason string) {
	if key == "" {
		return "", wire.ReasonKey
	}
	team, role, ok := snap.KeyTeam(key)
	if !ok || role != string(config.RoleCaller) {
		return "", wire.ReasonKey
	}
	return team, ""
}

package main

import (
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/wire"
)

// authorizer implements serve.Config with the configuration in force.
type authorizer struct {
	follower *config.Follower
}

// fresh reports whether there is a configuration and it is confirmed to be
// current.
func (a *authorizer) fresh() bool { return a.follower.Current() != nil && a.follower.Fresh() }

// Team implements serve.Config.
func (a *authorizer) Team(key string) (team, reason string) {
	if key == "" {
		return "", ""
	}
	if !a.fresh() {
		return "", wire.ReasonStale
	}
	return teamOf(a.follower.Current(), key)
}

// Check implements serve.Config.
func (a *authorizer) Check(key, queue string, kind wire.Kind) (team, reason string) {
	// Check that the version is confirmed before reading it. If the version is
	// replaced in between, the one that is read is newer.
	confirmed := a.follower.Honours(queue)
	snap := a.follower.Current()
	if snap == nil {
		return "", wire.ReasonStale
	}
	q, ok := snap.Queue(queue)
	switch {
	case ok && q.Open && q.Takes(kind):
		return "", ""
	case !confirmed:
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
func (a *authorizer) Version() uint64 { return a.follower.Head().Version }

// teamOf returns the team of a caller's key, or wire.ReasonKey.
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

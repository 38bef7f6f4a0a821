package borrow

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/owner"
	"github.com/balsamford/balsamford/coord/parts"
)

// releaseKey is the key for the rendezvous hash that selects the placer of a
// zone that releases the parts of dead ones.
const releaseKey = "bury"

// releaseDead releases the parts of dead processes whose tasks have certainly
// been adopted: the process has been dead for at least Owners.MaxLeaseTime, and each
// endpoint of the zone is owned by a live placer.
func (m *Mover) releaseDead(ctx context.Context) {
	live := m.live()
	names := make([]string, 0, len(live))
	for name := range live {
		names = append(names, name)
	}
	if owner.Of(releaseKey, names) != Name(m.members.Self()) {
		return
	}
	found := m.holders(ctx)
	for name := range m.deadSince {
		if live[name] || !found[name] {
			delete(m.deadSince, name)
		}
	}
	now := m.pacer.Boot()
	for name := range found {
		if live[name] {
			continue
		}
		since, known := m.deadSince[name]
		if !known {
			m.deadSince[name] = now
			continue
		}
		if now-since < m.owners.MaxLeaseTime() || !m.owners.Adopted(ctx) {
			continue
		}
		err := m.limiter.ReleaseDead(ctx, m.table, name, names)
		m.log.Info("releasing parts of a dead placer", zap.String("holder", name), zap.Error(err))
	}
}

// releaseDue reports whether to look for dead holders in this round: every
// releaseRounds, when a placer has died, and every deadRounds while the parts of
// one are unreleased.
func (m *Mover) releaseDue(round int) bool {
	live := m.live()
	died := false
	for name := range m.wasLive {
		died = died || !live[name]
	}
	m.wasLive = live
	return died || round%releaseRounds == 0 || len(m.deadSince) > 0 && round%deadRounds == 0
}

// live returns the names under which live placers hold parts, including placers
// that are shutting down.
func (m *Mover) live() map[string]bool {
	out := map[string]bool{Name(m.members.Self()): true}
	for _, p := range m.members.Peers() {
		if now, alive := m.members.Alive(p.Name); alive && now.Zone == m.zone {
			out[Name(now)] = true
		}
	}
	return out
}

// holders returns the names of all holders of parts in this zone, according to
// the accounts, or none if the accounts can't be read.
func (m *Mover) holders(ctx context.Context) map[string]bool {
	out := make(map[string]bool)
	rows, err := m.table.Scan(ctx, parts.TableName, "")
	if err != nil {
		return out
	}
	for i := range rows {
		var a parts.Account
		if cbor.Unmarshal(rows[i].Value, &a) != nil || a.Zones[m.zone] == nil {
			continue
		}
		for name := range a.Zones[m.zone].Holders {
			out[name] = true
		}
	}
	return out
}

package borrow

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/owner"
	"github.com/balsamford/balsamford/coord/parts"
)

// buryKey is what the placers of a zone hash to agree on who buries.
const buryKey = "bury"

// bury frees what dead processes held, once their tasks have been adopted:
// they have been dead for long enough, and each endpoint of the zone is owned
// by a placer that lives.
func (m *Mover) bury(ctx context.Context) {
	living := m.living()
	names := make([]string, 0, len(living))
	for name := range living {
		names = append(names, name)
	}
	if owner.Of(buryKey, names) != Name(m.members.Self()) {
		return
	}
	found := m.holders(ctx)
	for name := range m.dead {
		if living[name] || !found[name] {
			delete(m.dead, name)
		}
	}
	now := m.pacer.Boot()
	for name := range found {
		if living[name] {
			continue
		}
		since, known := m.dead[name]
		if !known {
			m.dead[name] = now
			continue
		}
		if now-since < m.owners.Span() || !m.owners.Adopted(ctx) {
			continue
		}
		err := m.keeper.Bury(ctx, m.table, name, names)
		m.log.Info("freed the limits of a dead placer", zap.String("holder", name), zap.Error(err))
	}
}

// buryDue reports whether to look for dead holders in this round: from time to
// time, when a placer has died, and more often until its part is free.
func (m *Mover) buryDue(round int) bool {
	living := m.living()
	died := false
	for name := range m.lived {
		died = died || !living[name]
	}
	m.lived = living
	return died || round%buryRounds == 0 || len(m.dead) > 0 && round%deadRounds == 0
}

// living returns the names under which live placers hold parts, leaving ones
// included.
func (m *Mover) living() map[string]bool {
	out := map[string]bool{Name(m.members.Self()): true}
	for _, p := range m.members.Peers() {
		if now, alive := m.members.Alive(p.Name); alive && now.Zone == m.zone {
			out[Name(now)] = true
		}
	}
	return out
}

// holders returns who holds parts in this zone, as the accounts show it.
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

package faults

import (
	"context"
	"fmt"
	"time"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/trial/judge"
)

// limit lowers the limit of a team to a few tasks, by way of an operators'
// door, and raises it again. The lowered one binds only from when the operator
// was told that it is in force.
func (m *maker) limit() *fault {
	all := make([]*config.Limit, 0)
	set := m.site.Publisher().Set()
	for _, ref := range set.Refs() {
		if l, ok := set.Object(ref).(*config.Limit); ok && l.Tasks != nil {
			all = append(all, l)
		}
	}
	old := all[m.rand.IntN(len(all))]
	low := 2 + m.rand.IntN(6)
	doors := m.site.Cell().EntryHosts()
	first, second := doors[m.rand.IntN(len(doors))], doors[m.rand.IntN(len(doors))]
	return &fault{
		text: fmt.Sprintf("lower limit of %s to %d", old.Team, low), target: []string{"operator"}, last: m.between(2*time.Second, 8*time.Second),
		begin: func(ctx context.Context) error {
			err := m.setLimit(ctx, first.OperatorAddress, old, low)
			if err == nil {
				m.limited(old.Team, low)
			}
			return err
		},
		end: func(ctx context.Context) error {
			m.limited(old.Team, int(*old.Tasks)) // It may be in force before the operator hears of it.
			if err := m.setLimit(ctx, second.OperatorAddress, old, int(*old.Tasks)); err == nil {
				return nil
			}
			_, err := m.site.Publisher().Put(ctx, old) // The door may be away; a trial ends with the limits it began with.
			return err
		},
	}
}

func (m *maker) limited(team string, tasks int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limits = append(m.limits, judge.Limit{Team: team, Tasks: tasks, From: time.Now()})
}

// setLimit sets the limit of a team. A nil error says that it is in force
// everywhere.
func (m *maker) setLimit(ctx context.Context, door string, l *config.Limit, tasks int) error {
	path, err := m.file("limit.toml", fmt.Sprintf("[limit.%s]\nteam = %q\ntasks = %d\n", l.Name, l.Team, tasks))
	if err != nil {
		return err
	}
	return m.publish(ctx, door, "set", path)
}

package faults

import (
	"context"
	"fmt"
	"time"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/trial/judge"
)

// limit lowers the limit of a team to a few tasks, through the operator API of
// one host, and restores it through that of another. The lower limit is recorded
// only after the API has confirmed that it is in force.
func (inj *injector) limit() *fault {
	limits := make([]*config.Limit, 0)
	set := inj.site.Publisher().Set()
	for _, ref := range set.Refs() {
		if l, ok := set.Object(ref).(*config.Limit); ok && l.Tasks != nil {
			limits = append(limits, l)
		}
	}
	old := limits[inj.rand.IntN(len(limits))]
	low := 2 + inj.rand.IntN(6)
	hosts := inj.site.Cell().EntryHosts()
	lowerHost, restoreHost := hosts[inj.rand.IntN(len(hosts))], hosts[inj.rand.IntN(len(hosts))]
	return &fault{
		description: fmt.Sprintf("lower limit of %s to %d", old.Team, low), targets: []string{"operator"}, duration: inj.between(2*time.Second, 8*time.Second),
		begin: func(ctx context.Context) error {
			err := inj.setLimit(ctx, lowerHost.OperatorAddress, old, low)
			if err == nil {
				inj.recordLimit(old.Team, low)
			}
			return err
		},
		undo: func(ctx context.Context) error {
			inj.recordLimit(old.Team, int(*old.Tasks)) // Recorded first, since it may be in force before the API confirms it.
			if err := inj.setLimit(ctx, restoreHost.OperatorAddress, old, int(*old.Tasks)); err == nil {
				return nil
			}
			_, err := inj.site.Publisher().Put(ctx, old) // That entry may be down; the limits must be restored before the trial ends.
			return err
		},
	}
}

func (inj *injector) recordLimit(team string, tasks int) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.limits = append(inj.limits, judge.Limit{Team: team, Tasks: tasks, From: time.Now()})
}

// setLimit sets the limit of a team. If the error is nil, the limit is in force
// on all hosts.
func (inj *injector) setLimit(ctx context.Context, operatorAddress string, l *config.Limit, tasks int) error {
	path, err := inj.writeFile("limit.toml", fmt.Sprintf("[limit.%s]\nteam = %q\ntasks = %d\n", l.Name, l.Team, tasks))
	if err != nil {
		return err
	}
	return inj.publish(ctx, operatorAddress, "set", path)
}

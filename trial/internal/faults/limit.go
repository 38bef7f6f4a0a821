package faults

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/trial/judge"
	"github.com/balsamford/balsamford/trial/rules"
)

// acceptTime is how long an operator waits until a change is in force.
const acceptTime = 30 * time.Second

// limit lowers the limit of a team to a few tasks, by way of an operators'
// door, and raises it again. The lowered one binds only from when the operator
// was told that it is in force.
func (m *maker) limit() *fault {
	all := make([]*config.Limit, 0)
	set := m.site.Book().Set()
	for _, ref := range set.Refs() {
		if l, ok := set.Object(ref).(*config.Limit); ok && l.Tasks != nil {
			all = append(all, l)
		}
	}
	old := all[m.rand.IntN(len(all))]
	low := 2 + m.rand.IntN(6)
	doors := m.site.Cell().Doors()
	first, second := doors[m.rand.IntN(len(doors))], doors[m.rand.IntN(len(doors))]
	return &fault{
		text: fmt.Sprintf("lower limit of %s to %d", old.Team, low), target: []string{"operator"}, last: m.between(2*time.Second, 8*time.Second),
		begin: func(ctx context.Context) error {
			err := m.setLimit(ctx, first.Oper, old, low)
			if err == nil {
				m.limited(old.Team, low)
			}
			return err
		},
		end: func(ctx context.Context) error {
			m.limited(old.Team, int(*old.Tasks)) // It may be in force before the operator hears of it.
			if err := m.setLimit(ctx, second.Oper, old, int(*old.Tasks)); err == nil {
				return nil
			}
			return m.publish(ctx, func(ctx context.Context) (uint64, error) { return m.site.Book().Put(ctx, old) })
		},
	}
}

func (m *maker) limited(team string, tasks int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limits = append(m.limits, judge.Limit{Team: team, Tasks: tasks, From: time.Now()})
}

// setLimit runs "balsam set --wait" against an operators' door. A nil error
// says that the limit is in force everywhere.
func (m *maker) setLimit(ctx context.Context, door string, l *config.Limit, tasks int) error {
	path := filepath.Join(m.dir, "limit.toml")
	text := fmt.Sprintf("[limit.%s]\nteam = %q\ntasks = %d\n", l.Name, l.Team, tasks)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 2*acceptTime)
	defer cancel()
	cmd := exec.CommandContext(ctx, m.balsam, "set", path, "--wait", "--timeout", acceptTime.String(), //nolint:gosec // The trial starts what it was built for.
		"--door", door, "--key", rules.Secret(m.operator()))
	out, err := cmd.CombinedOutput()
	if err != nil {
		return errors.Join(err, &OutputError{Text: string(out)})
	}
	return nil
}

// operator returns the name of an operator's key.
func (m *maker) operator() string {
	set := m.site.Book().Set()
	for _, ref := range set.Refs() {
		if k, ok := set.Object(ref).(*config.Key); ok && k.Operator() {
			return k.Name
		}
	}
	return ""
}

// OutputError is what a program that failed has printed.
type OutputError struct {
	Text string
}

// Error implements error.
func (e *OutputError) Error() string { return e.Text }

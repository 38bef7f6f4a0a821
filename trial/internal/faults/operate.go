package faults

import (
	"context"
	"strconv"
	"time"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/trial/judge"
)

// never is longer than any trial.
const never = 24 * time.Hour

// operate publishes a harmless change, or once in a trial withdraws a key.
func (m *maker) operate() *fault {
	keys := make([]string, 0)
	set := m.site.Publisher().Set()
	for _, ref := range set.Refs() {
		if k, ok := set.Object(ref).(*config.Key); ok && !k.Operator() {
			keys = append(keys, k.Name)
		}
	}
	key := keys[m.rand.IntN(len(keys))]
	note := strconv.Itoa(m.rand.IntN(1 << 20))
	doors := m.site.Cell().EntryHosts()
	door := doors[m.rand.IntN(len(doors))].OperatorAddress
	if m.rand.IntN(4) > 0 || m.spent {
		return &fault{text: "publish a note", target: []string{"operator"}, begin: func(ctx context.Context) error {
			path, err := m.file("note.toml", "[team.spare]\nnote = \""+note+"\"\n")
			if err != nil {
				return err
			}
			return m.publish(ctx, door, "set", path)
		}}
	}
	m.spent = true
	return &fault{text: "withdraw key " + key, target: []string{"operator"}, begin: func(ctx context.Context) error {
		err := m.publish(ctx, door, "delete", "key."+key)
		at := time.Now()
		if err != nil {
			at = at.Add(never) // Its jobs may not be followed any more, but nothing was promised.
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.withdrawn[key] = at
		return err
	}}
}

// publish changes the configuration by way of an operators' door. A nil error
// says that the version is in force everywhere.
func (m *maker) publish(ctx context.Context, door string, args ...string) error {
	version, err := m.tool(ctx, door, args...)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.published = append(m.published, judge.Published{Version: version, Accepted: time.Now()})
	return nil
}

package faults

import (
	"context"
	"strconv"
	"time"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/trial/judge"
)

// publishTime bounds one publish.
const publishTime = 5 * time.Second

// operate publishes a harmless change, or once in a trial withdraws a key.
func (m *maker) operate() *fault {
	keys := make([]string, 0)
	set := m.site.Book().Set()
	for _, ref := range set.Refs() {
		if k, ok := set.Object(ref).(*config.Key); ok && !k.Operator() {
			keys = append(keys, k.Name)
		}
	}
	key := keys[m.rand.IntN(len(keys))]
	note := strconv.Itoa(m.rand.IntN(1 << 20))
	if m.rand.IntN(4) > 0 || m.spent {
		return &fault{text: "publish a note", target: []string{"operator"}, begin: func(ctx context.Context) error {
			return m.publish(ctx, func(ctx context.Context) (uint64, error) {
				return m.site.Book().Put(ctx, &config.Team{Name: "spare", Note: note})
			})
		}}
	}
	m.spent = true
	return &fault{text: "withdraw key " + key, target: []string{"operator"}, begin: func(ctx context.Context) error {
		err := m.publish(ctx, func(ctx context.Context) (uint64, error) { return m.site.Book().Withdraw(ctx, key) })
		if err == nil {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.withdrawn[key] = time.Now()
		}
		return err
	}}
}

func (m *maker) publish(ctx context.Context, change func(context.Context) (uint64, error)) error {
	ctx, cancel := context.WithTimeout(ctx, publishTime)
	defer cancel()
	version, err := change(ctx)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.published = append(m.published, judge.Published{Version: version, Accepted: time.Now()})
	return nil
}

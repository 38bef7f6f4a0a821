package role

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/store"
)

// announceInterval is the time between announcements of changes, and between
// retries.
const announceInterval = 200 * time.Millisecond

// announce keeps the entries of the endpoints in the platform's host list up to
// date until ctx ends.
func (p *Process) announce(ctx context.Context, endpoints []*listedEndpoint) error {
	client := store.NewClient(p.settings.Platform)
	defer client.Close()
	announced := make(map[string]store.Host)
	for {
		for _, e := range endpoints {
			host := e.host
			host.Leaving = e.engine.Faults().Leaving
			if announced[host.Name] == host {
				continue
			}
			if err := client.Announce(ctx, host); err != nil {
				p.log.Warn("announcement failed", zap.String("endpoint", host.Name), zap.Error(err))
				break
			}
			announced[host.Name] = host
		}
		if p.timer.Sleep(ctx, announceInterval) != nil {
			return nil
		}
	}
}

package role

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/store"
)

// announcePeriod is how often changes are announced, and failed
// announcements are tried again.
const announcePeriod = 200 * time.Millisecond

// announce keeps what the platform's list says of the endpoints up to date.
func (p *Process) announce(ctx context.Context, places []*place) error {
	client := store.NewClient(p.settings.Platform)
	defer client.Close()
	told := make(map[string]store.Host)
	for {
		for _, pl := range places {
			host := pl.host
			host.Leaving = pl.engine.Faults().Leaving
			if told[host.Name] == host {
				continue
			}
			if err := client.Announce(ctx, host); err != nil {
				p.log.Warn("announcement failed", zap.String("endpoint", host.Name), zap.Error(err))
				break
			}
			told[host.Name] = host
		}
		if p.timer.Sleep(ctx, announcePeriod) != nil {
			return nil
		}
	}
}

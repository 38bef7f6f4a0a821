package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
)

// TestBurst publishes ten changes from each of nine publishers at the same
// time, each of a different object. All must take effect.
func TestBurst(t *testing.T) {
	const doors, changes = 9, 10
	is := is.New(t)
	timers := timer.New()
	platform := store.New(store.WithTimer(timers))
	var g errgroup.Group
	for d := range doors {
		p := NewPublisher(platform, timers, zap.NewNop())
		for i := range changes {
			g.Go(func() error {
				_, err := p.Publish(t.Context(), &Edit{
					ID: audit.NewID(time.Now()), Author: "ana", Base: AnyVersion, Action: audit.Set,
					Put: []Object{&Team{Name: fmt.Sprintf("team-%d-%d", d, i)}},
				})
				return err
			})
		}
	}
	is.NoErr(g.Wait())
	head, snap, err := NewPublisher(platform, timers, zap.NewNop()).Newest(t.Context())
	is.NoErr(err)
	is.Equal(len(snap.Teams()), doors*changes)
	is.Equal(head.Version, uint64(doors*changes))
}

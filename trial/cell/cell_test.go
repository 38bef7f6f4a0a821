package cell

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/store"
)

const waitTimeout = 30 * time.Second

// Starts a deployment of stand-ins only and checks that processes can be paused,
// resumed, killed, restarted and stopped, and that all exit at the end.
func TestProcessesOfACell(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(Build(context.Background(), dir, "standin"))
	spec := Small()
	spec.Hosts, spec.Executors, spec.Workers = 0, 1, 2
	c, err := New(dir, dir, spec)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.StartRole(RolePlatform))
	is.NoErr(c.StartRole(RoleEndpoints))

	ctx := context.Background()
	platform := store.NewClient(c.Platform())
	defer platform.Close()
	is.Equal(Wait(ctx, waitTimeout, func() string {
		if list, err := platform.Hosts(ctx); err != nil || len(list) < 6 {
			return "not all endpoints are announced"
		}
		return ""
	}), "")
	caller := point.NewClient(point.WithTimeout(200 * time.Millisecond))
	defer caller.Close()
	worker := c.Endpoints()[1]
	v, err := caller.View(ctx, worker.Address)
	is.NoErr(err)
	is.Equal(v.Capacity, spec.Worker)

	p := c.ByRole(RoleEndpoints)[0]
	is.NoErr(p.Signal(syscall.SIGSTOP))
	is.Equal(Wait(ctx, waitTimeout, func() string {
		if _, err := caller.View(ctx, worker.Address); err == nil {
			return "a stopped process answers"
		}
		return ""
	}), "")
	is.NoErr(p.Signal(syscall.SIGCONT))
	serves := func() string {
		if _, err := caller.View(ctx, worker.Address); err != nil {
			return err.Error()
		}
		return ""
	}
	is.Equal(Wait(ctx, waitTimeout, serves), "")

	c.Kill(p)
	code, planned := p.Exit()
	is.Equal(code, -1)
	is.True(!planned)
	is.NoErr(c.Start(p))
	is.Equal(Wait(ctx, waitTimeout, serves), "") // SIGTERM before that would arrive before its handler is installed
	for _, p := range c.Processes() {
		is.True(c.Stop(p))
		is.True(!p.Running())
	}
}

func TestPortsAreDistinct(t *testing.T) {
	is := is.New(t)
	p, err := newPlan(Today())
	is.NoErr(err)
	seen := make(map[string]bool)
	for _, z := range p.zones {
		for _, h := range z.hosts {
			for _, a := range []string{h.entryAddress, h.entryStatus, h.placerStatus, "udp " + h.entryLink, "udp " + h.placerLink} {
				is.True(!seen[a])
				seen[a] = true
			}
		}
	}
	is.Equal(len(p.zones), 4)
	is.Equal(len(seen), 40)
}

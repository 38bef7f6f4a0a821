package serve

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
)

// listen serves h on a free loopback port until the test ends.
func listen(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return Run(ctx, ln, h, 0) })
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(g.Wait())
	})
	return ln.Addr().String()
}

// runTimer returns a timer service that runs until the test ends.
func runTimer(t *testing.T) *timer.Service {
	t.Helper()
	s := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return s
}

func TestPlatformOverHTTP(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := store.NewClient(listen(t, NewPlatform(store.New()).Handle))
	defer c.Close()
	const key = "zone/a//b?c%2F"
	is.NoErr(c.Commit(ctx, []store.Op{{Table: "job", Key: key, Action: store.Put, Value: []byte{0, 1, 255}}}))
	row, err := c.Get(ctx, "job", key)
	is.NoErr(err)
	is.Equal(row, store.Row{Key: key, Version: 1, Value: []byte{0, 1, 255}})
	rows, err := c.Scan(ctx, "job", "zone/a//")
	is.NoErr(err)
	is.Equal(len(rows), 1)
	_, err = c.Get(ctx, "job", "none")
	var missing *store.MissingError
	is.True(errors.As(err, &missing))
	err = c.Commit(ctx, []store.Op{{Table: "job", Key: key, Action: store.Put}})
	var conflict *store.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Row.Version, uint64(1))
	is.NoErr(c.PutObject(ctx, "config/1", []byte("toml")))
	data, err := c.Object(ctx, "config/1")
	is.NoErr(err)
	is.Equal(string(data), "toml")
	is.NoErr(c.Announce(ctx, store.Host{Name: "h/1", Zone: "a", Role: "worker"}))
	list, err := c.Hosts(ctx)
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.NoErr(c.Withdraw(ctx, "h/1"))
	list, err = c.Hosts(ctx)
	is.NoErr(err)
	is.Equal(len(list), 0)
}

// TestHostListSentOnlyWhenChanged checks that the client gets the host list again
// only after a change, and that a caller that modifies its list doesn't modify
// the client's cached one.
func TestHostListSentOnlyWhenChanged(t *testing.T) {
	is := is.New(t)
	m := store.New(store.WithTimer(runTimer(t)))
	var sent atomic.Int64 // bytes
	p := NewPlatform(m)
	c := store.NewClient(listen(t, func(ctx *fasthttp.RequestCtx) {
		p.Handle(ctx)
		if ctx.IsGet() {
			sent.Add(int64(len(ctx.Response.Body())))
		}
	}))
	ctx := context.Background()
	for names, name := range []string{"a", "b"} {
		is.NoErr(c.Announce(ctx, store.Host{Name: name}))
		before := sent.Load()
		for range 3 {
			list, err := c.Hosts(ctx)
			is.NoErr(err)
			is.Equal(len(list), names+1)
			is.Equal(list[names].Name, name)
			list[0].Name = "changed"
		}
		whole := sent.Load() - before
		is.True(whole > 0 && whole < 2*int64(len(`[{"name":"a","zone":"","address":"","role":""}]`)*(names+1)))
	}
}

func TestPlatformFaultsOverHTTP(t *testing.T) {
	tests := map[string]struct {
		faults store.Faults
		effect bool
	}{
		"down":            {faults: store.Faults{Down: true}},
		"lost":            {faults: store.Faults{Next: 1}, effect: true},
		"dropped":         {faults: store.Faults{Drop: 1}},
		"past the client": {faults: store.Faults{Slow: 300 * time.Millisecond}, effect: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := store.New(store.WithTimer(runTimer(t)))
			c := store.NewClient(listen(t, NewPlatform(m).Handle), store.WithTimeout(100*time.Millisecond))
			defer c.Close()
			m.SetFaults(tt.faults)
			err := c.Commit(context.Background(), []store.Op{{Table: "a", Key: "x", Action: store.Put}})
			var lost *store.UnavailableError
			is.True(errors.As(err, &lost))
			is.True(!lost.Unsent)
			m.SetFaults(store.Faults{})
			seen := func() bool {
				_, err := m.Get(context.Background(), "a", "x")
				return err == nil
			}
			for end := time.Now().Add(5 * time.Second); tt.effect && !seen() && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			is.Equal(seen(), tt.effect)
		})
	}
}

func TestUnsentOnlyWithoutConnection(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.NoErr(ln.Close())
	c := store.NewClient(address)
	defer c.Close()
	err = c.Commit(context.Background(), nil)
	var lost *store.UnavailableError
	is.True(errors.As(err, &lost))
	is.True(lost.Unsent)
}

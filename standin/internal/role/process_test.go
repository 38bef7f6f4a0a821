package role

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/store"
)

// freeAddress returns a loopback address whose port is free.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func parseSettings(text string) (*Settings, error) {
	s := &Settings{Level: "info"}
	return s, setup.Parse("standin.toml", []byte(text), s)
}

func TestProcesses(t *testing.T) {
	is := is.New(t)
	table, executor, worker := freeAddress(t), freeAddress(t), freeAddress(t)
	platform, err := parseSettings("role = \"platform\"\nname = \"s1\"\nlisten = \"" + table + "\"\n")
	is.NoErr(err)
	endpoints, err := parseSettings("role = \"endpoints\"\nname = \"s2\"\nplatform = \"" + table + "\"\n" +
		"[[group]]\nname = \"e\"\nkind = \"executor\"\nzone = \"a\"\nrack = \"ea\"\naddresses = [\"" + executor + "\"]\ncapacity = {slots = 8, conns = 60}\n" +
		"[[group]]\nname = \"w\"\nkind = \"worker\"\nzone = \"a\"\nrack = \"wa\"\nper = 6\ncount = 1\naddress = \"" + worker + "\"\ncapacity = {cpu = 32000, mem = 137438953472}\n")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return New(platform, zap.NewNop()).Run(ctx) })
	g.Go(func() error { return New(endpoints, zap.NewNop()).Run(ctx) })

	client := store.NewClient(table)
	defer client.Close()
	hosts := func() []store.Host {
		list, _ := client.Hosts(ctx)
		return list
	}
	for end := time.Now().Add(10 * time.Second); len(hosts()) < 2 && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(hosts(), []store.Host{
		{Name: "e-1", Zone: "a", Address: executor, Role: "executor", Rack: "ea"},
		{Name: "w-1", Zone: "a", Address: worker, Role: "worker", Rack: "wa-1"},
	})
	caller := point.NewClient()
	defer caller.Close()
	v, err := caller.View(ctx, worker)
	is.NoErr(err)
	is.Equal(v.Capacity.CPU, int64(32000))
	cancel()
	is.NoErr(g.Wait())
}

func TestSettings(t *testing.T) {
	tests := map[string]struct {
		text string
		keys []string
	}{
		"no role":         {text: `name = "s"`, keys: []string{"role"}},
		"platform":        {text: "name = \"s\"\nrole = \"platform\"", keys: []string{"listen"}},
		"unknown key":     {text: "name = \"s\"\nrole = \"platform\"\nport = 1", keys: []string{"port"}},
		"endpoint groups": {text: "name = \"s\"\nrole = \"endpoints\"\nplatform = \"127.0.0.1:1\"\n[[group]]\nname = \"e\"\nfence = \"x\"", keys: []string{"group.zone", "group.kind", "group.fence", "group.count", "group.address", "group.capacity"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := parseSettings(tt.text)
			var invalid *setup.InvalidError
			is.True(errors.As(err, &invalid))
			keys := make([]string, 0)
			for _, f := range invalid.Faults {
				keys = append(keys, f.Key)
			}
			is.Equal(keys, tt.keys)
		})
	}
}

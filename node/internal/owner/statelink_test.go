package owner

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
)

// udpRelay passes packets on between one caller and a server, until it is cut.
type udpRelay struct {
	conn   *net.UDPConn
	server *net.UDPConn
	passed atomic.Int64 // bytes to the server
	most   int64        // that pass
}

func newUDPRelay(t *testing.T, g *errgroup.Group, server string, most int64) *udpRelay {
	t.Helper()
	to, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	r := &udpRelay{most: most}
	if r.conn, err = net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)}); err != nil {
		t.Fatal(err)
	}
	if r.server, err = net.DialUDP("udp", nil, to); err != nil {
		t.Fatal(err)
	}
	var caller atomic.Pointer[net.UDPAddr]
	g.Go(func() error {
		for buf := make([]byte, 1<<16); ; {
			n, from, err := r.conn.ReadFromUDP(buf)
			if err != nil {
				return nil //nolint:nilerr // The relay is closed.
			}
			caller.Store(from)
			if r.passed.Add(int64(n)) <= most {
				_, _ = r.server.Write(buf[:n])
			}
		}
	})
	g.Go(func() error {
		for buf := make([]byte, 1<<16); ; {
			n, err := r.server.Read(buf)
			if err != nil {
				return nil //nolint:nilerr // The relay is closed.
			}
			if to := caller.Load(); to != nil && r.passed.Load() <= most {
				_, _ = r.conn.WriteToUDP(buf[:n], to)
			}
		}
	})
	return r
}

// A link that is cut while the state is on its way leaves nothing at the receiver, and the sender
// goes on within a bounded time.
func TestLinkCutHalfwayKeepsNoState(t *testing.T) {
	tests := map[string]struct {
		most int64
		held bool
	}{
		"whole": {most: 1 << 30, held: true},
		"cut":   {most: 300 << 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			private, err := link.NewPrivate()
			is.NoErr(err)
			receiver := New(Deps{Host: "b", Process: "p", Clock: timer.New(), Board: board.New(zap.NewNop()), Logger: zap.NewNop()})
			receiver.notePrepared(true)
			sender, _ := newTerm()
			nodes := [2]*link.Node{link.New("a", private), link.New("b", private)}
			sender.owner.node = nodes[0]
			receiver.Mount(nodes[1])
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			for _, n := range nodes {
				is.NoErr(n.Listen("127.0.0.1:0"))
				g.Go(func() error { return n.Run(ctx) })
			}
			relay := newUDPRelay(t, &g, nodes[1].Address(), tt.most)
			// A state with one job, of which the receiver lacks the specification, and many bytes.
			now := sender.owner.clock.Now()
			spec := &model.Job{ID: "j", Queue: "q", Steps: []model.Step{{Count: 1}}}
			sender.plan.AddJob(now, spec, nil)
			sender.untrimmed = []string{string(bytes.Repeat([]byte("x"), 1<<20))}
			data, err := (&recorder{term: sender}).snapshot()
			is.NoErr(err)
			began := time.Now()
			jobs, err := sender.putState(board.Host{Name: "b", Link: relay.conn.LocalAddr().String()}, &statePut{Version: stateVersion, Epoch: 1, ID: "a", Data: data})
			is.Equal(err == nil, tt.held)
			is.True(time.Since(began) < statePutTimeout+time.Second)
			receiver.mu.Lock()
			held := receiver.held
			receiver.mu.Unlock()
			is.Equal(held != nil, tt.held)
			if tt.held {
				is.Equal(jobs, 1)
				is.Equal(held.jobs["j"].Steps, spec.Steps)
				restored := plan.New(nil)
				is.NoErr(restored.Restore(now, 0, held.state.Plan, func(id string) *model.Job { return held.jobs[id] }))
			}
			cancel()
			_ = relay.conn.Close()
			_ = relay.server.Close()
			_ = g.Wait() // Closing a node whose link is cut may fail.
		})
	}
}

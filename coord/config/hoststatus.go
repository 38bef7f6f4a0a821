package config

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/wire"
)

// HostStatus is one process's reply to a status call.
type HostStatus struct {
	Peer    Peer
	Reached bool
	Status  Status // zero if it wasn't reached
}

// Hosts asks all listed processes for their status. A process that doesn't
// reply is in the result with Reached false. The error is a *FormError or the
// platform's.
func (w *Waiter) Hosts(ctx context.Context) ([]HostStatus, error) {
	peers, err := w.members(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]HostStatus, len(peers))
	var mu sync.Mutex // guards out
	var g errgroup.Group
	g.SetLimit(maxTells)
	for i, p := range peers {
		g.Go(func() error {
			s := w.hostStatus(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			out[i] = s
			return nil
		})
	}
	_ = g.Wait()
	return out, nil
}

func (w *Waiter) hostStatus(ctx context.Context, p Peer) HostStatus {
	f := w.follower
	if p.Name == f.name {
		return HostStatus{Peer: p, Reached: true, Status: f.Status()}
	}
	if f.caller == nil {
		return HostStatus{Peer: p}
	}
	ctx, cancel := f.timeout(ctx, f.period/2)
	defer cancel()
	var out Status
	err := f.caller.Call(ctx, p.Address, wire.VerbHead, Ask{Roll: allRolls}, &out)
	return HostStatus{Peer: p, Reached: err == nil, Status: out}
}

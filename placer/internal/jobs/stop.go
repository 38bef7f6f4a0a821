package jobs

import (
	"context"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/placer/internal/desk"
)

// maxHalts bounds how often a stop is tried. A task whose stop got lost ends
// by itself or by its lease, or is stopped when its driver asks again.
const maxStopTries = 5

// halt asks the endpoint for the end of a task, through its owner if that is
// another placer.
func (d *Driver) stopTask(ctx context.Context, h stopRequest) {
	for range maxStopTries {
		if d.stopLocal(ctx, h) || d.stopRemote(ctx, h) {
			return
		}
		if d.timer.Sleep(ctx, retryDelay) != nil {
			return
		}
	}
}

// haltHere stops a task at an endpoint that this placer owns.
func (d *Driver) stopLocal(ctx context.Context, h stopRequest) bool {
	pass, err := d.owner.Control(h.Endpoint)
	if err != nil {
		return false
	}
	defer pass.Done()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	in := point.Stop{Owner: pass.Owner(), ID: desk.TaskID(h.ID, h.Task), Attempt: h.Attempt, Mode: h.Mode}
	return d.client.Stop(ctx, pass.Address(), in) == nil
}

func (d *Driver) stopRemote(ctx context.Context, h stopRequest) bool {
	for _, m := range d.peers() {
		if out, err := d.callPeer(ctx, m, &peerRequest{Stop: &h}); err == nil && out.Done {
			return true
		}
	}
	return false
}

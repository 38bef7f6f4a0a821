package jobs

import (
	"context"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/placer/internal/queue"
)

// stopRequest stops or checkpoints one attempt of a task.
type stopRequest struct {
	ID       string         `cbor:"id"`
	Task     int            `cbor:"task"`
	Attempt  uint32         `cbor:"attempt"`
	Endpoint string         `cbor:"endpoint"`
	Mode     point.StopMode `cbor:"mode"`
}

// maxStopTries bounds the attempts to stop a task. If all of them fail the task
// ends by itself, by the expiry of its lease, or by a later stop of its driver.
const maxStopTries = 5

// stopTask stops or checkpoints a task, through the owner of its endpoint if that
// is another placer.
func (d *Driver) stopTask(ctx context.Context, req stopRequest) {
	for range maxStopTries {
		if d.stopLocal(ctx, req) || d.stopRemote(ctx, req) {
			return
		}
		if d.timer.Sleep(ctx, retryDelay) != nil {
			return
		}
	}
}

// stopLocal stops a task at an endpoint that this placer owns, and reports whether
// the endpoint confirmed it.
func (d *Driver) stopLocal(ctx context.Context, req stopRequest) bool {
	pass, err := d.owner.Control(req.Endpoint)
	if err != nil {
		return false
	}
	defer pass.Done()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	in := point.Stop{Owner: pass.Owner(), ID: queue.TaskID(req.ID, req.Task), Attempt: req.Attempt, Mode: req.Mode}
	return d.client.Stop(ctx, pass.Address(), in) == nil
}

// stopRemote asks the other placers in turn to stop a task, and reports whether one
// of them did.
func (d *Driver) stopRemote(ctx context.Context, req stopRequest) bool {
	for _, m := range d.peers() {
		if out, err := d.callPeer(ctx, m, &peerRequest{Stop: &req}); err == nil && out.Done {
			return true
		}
	}
	return false
}

package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/plan"
)

const (
	notifyVerb = "news"
	// notificationQueueSize bounds the queued notifications. If the queue is full, the
	// owner learns of the job from the board.
	notificationQueueSize = 256
	// notifyTimeout bounds a call with notifications, which takes a few milliseconds.
	notifyTimeout = 300 * time.Millisecond
	// unresponsiveBackoff is how long an owner isn't called after it failed to respond.
	unresponsiveBackoff = 400 * time.Millisecond
)

// notification holds jobs and cancellations that a host has stored and that the owner
// may not have seen on the board yet.
type notification struct {
	Jobs      []*model.Job `cbor:"1,keyasint,omitempty"`
	Cancelled []string     `cbor:"2,keyasint,omitempty"`
	Seen      forecastID   `cbor:"3,keyasint"` // forecast that the host has
	Ask       bool         `cbor:"-"`          // it was queued for the forecast alone
}

// notificationReply acknowledges a notification. The forecast is nil if the owner has none, or none that is newer than
// what the host has seen. Owners with an earlier program send none, and hosts with one ignore it.
type notificationReply struct {
	ID       forecastID     `cbor:"1,keyasint"`
	Age      time.Duration  `cbor:"2,keyasint,omitempty"` // of the forecast when the reply was made
	Forecast *plan.Forecast `cbor:"3,keyasint,omitempty"`
}

// Submitted queues a notification to the owner that a job has been stored. It doesn't
// block. If the notification is lost, the owner sees the job on the board later.
func (o *Owner) Submitted(j *model.Job) { o.enqueue(notification{Jobs: []*model.Job{j}}) }

// Cancelled queues a notification that the cancellation of a job has been stored.
func (o *Owner) Cancelled(id string) { o.enqueue(notification{Cancelled: []string{id}}) }

func (o *Owner) enqueue(n notification) {
	select {
	case o.notifications <- n:
	default:
	}
}

// SendNotifications sends queued notifications to the owner until ctx ends. It always
// returns nil, so that it can be a member of a group.
func (o *Owner) SendNotifications(ctx context.Context) error {
	for {
		var n notification
		select {
		case <-ctx.Done():
			return nil
		case n = <-o.notifications:
		}
		for more := true; more; {
			select {
			case next := <-o.notifications:
				n.Jobs, n.Cancelled, n.Ask = append(n.Jobs, next.Jobs...), append(n.Cancelled, next.Cancelled...), n.Ask || next.Ask
			default:
				more = false
			}
		}
		o.sendNotification(ctx, &n)
		if n.Ask {
			o.heldForecast.asking.Store(false)
		}
	}
}

// sendNotification delivers a notification to the owner, which may be this host.
func (o *Owner) sendNotification(ctx context.Context, n *notification) {
	if t := o.currentTerm(); t != nil {
		t.applyNotification(n)
		return
	}
	var reply notificationReply
	n.Seen = o.heldForecast.seen()
	sent := o.clock.Boot()
	if err := o.callOwner(ctx, notifyVerb, notifyTimeout, n, &reply); err != nil {
		if n.Ask && len(n.Jobs)+len(n.Cancelled) == 0 {
			return // Jobs are accepted without a forecast, and other calls report the owner.
		}
		o.logger.Info("owner not notified", zap.Int("jobs", len(n.Jobs)), zap.Error(err))
		return
	}
	o.heldForecast.take(&reply, sent)
}

// callOwner calls the host that the board names as the owner. After a failed call it
// sends no other call to that owner for unresponsiveBackoff, since the owner may have
// died. A *NoOwnerError means that no call was sent.
func (o *Owner) callOwner(ctx context.Context, verb string, timeout time.Duration, in, out any) error {
	row, _ := o.board.Owner()
	h, ok := o.board.Host(row.Host)
	o.mu.Lock()
	backingOff := row.Epoch == o.backoffEpoch && o.clock.Now().Before(o.backoffUntil)
	o.mu.Unlock()
	if !ok || row.Resigned || o.node == nil || backingOff {
		return &NoOwnerError{Epoch: row.Epoch, Unresponsive: backingOff}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := o.node.Call(ctx, h.Link, verb, in, out)
	if err != nil {
		o.mu.Lock()
		o.backoffEpoch, o.backoffUntil = row.Epoch, o.clock.Now().Add(unresponsiveBackoff)
		o.mu.Unlock()
	}
	return err
}

// serveNotification handles notifications from other hosts.
func (o *Owner) serveNotification(_ context.Context, s *link.Stream) error {
	var n notification
	if err := s.Recv(&n); err != nil {
		return err
	}
	reply := &notificationReply{}
	if t := o.currentTerm(); t != nil {
		t.applyNotification(&n)
		reply = t.notificationReply(n.Seen)
	}
	return s.Send(reply)
}

// currentTerm returns the current term, nil if this host doesn't own the cell.
func (o *Owner) currentTerm() *term {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.term
}

// applyNotification gives notified jobs and cancellations to the plan. It drops them
// until the term has loaded the recorded state, since a job that has recorded progress
// would be taken for a new one.
func (t *term) applyNotification(n *notification) {
	t.mu.Lock()
	loaded := t.loaded
	t.mu.Unlock()
	if !loaded {
		return
	}
	for _, j := range n.Jobs {
		if j == nil { // A null in a malformed message.
			continue
		}
		if err := j.Check(); err != nil {
			t.owner.logger.Warn("skipping notification of a job", zap.String("id", j.ID), zap.Error(err))
			continue
		}
		t.JobAccepted(j)
	}
	for _, id := range n.Cancelled {
		t.JobCancelled(id)
	}
}

package owner

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/node/internal/plan"
)

const (
	// settleOrdersTime is how long a frozen owner waits for the answers to its orders. Starts without
	// one are in doubt in the snapshot.
	settleOrdersTime = orderTimeout
	// settleOrdersPoll is how often it looks for them.
	settleOrdersPoll = 2 * time.Millisecond
)

// freeze holds starts back. Orders that wait in queues are taken back, except stops. The term's mu is held.
func (t *term) freeze() {
	now := t.owner.clock.Now()
	t.frozen = true
	for _, sess := range t.sessions {
		sess.takeBackOrders(now)
	}
	for _, held := range t.heldStarts {
		for _, s := range held {
			t.refuse(now, s, plan.RefusedLate)
		}
	}
	clear(t.heldStarts)
}

// takeBackOrders takes the starts and paces out of the queue. The term's mu is held.
func (sess *session) takeBackOrders(now time.Time) {
	var stops []order
	for range len(sess.orders) {
		select {
		case o := <-sess.orders:
			switch {
			case o.start != nil:
				sess.term.refuse(now, *o.start, plan.RefusedLate)
			case o.pace != nil:
				sess.term.plan.PaceFailed(*o.pace)
			default:
				stops = append(stops, o)
			}
		default:
		}
	}
	for _, o := range stops {
		sess.enqueue(o)
	}
}

// awaitOrders waits for the answers to the starts and paces that are on their way.
func (t *term) awaitOrders(ctx context.Context) {
	for end := t.owner.clock.Now().Add(settleOrdersTime); t.owner.clock.Now().Before(end) && ctx.Err() == nil; {
		if !t.ordersUnderWay() {
			return
		}
		_ = t.owner.clock.Sleep(ctx, settleOrdersPoll)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, sess := range t.sessions {
		if sess.pacing != nil {
			t.plan.PaceFailed(*sess.pacing)
		}
	}
}

func (t *term) ordersUnderWay() bool {
	t.mu.Lock()
	sessions := make([]*session, 0, len(t.sessions))
	for _, sess := range t.sessions {
		if sess.pacing != nil {
			t.mu.Unlock()
			return true
		}
		sessions = append(sessions, sess)
	}
	t.mu.Unlock()
	for _, sess := range sessions {
		if !sess.starting.TryLock() { // It is locked before the term's mu.
			return true
		}
		sess.starting.Unlock()
	}
	return false
}

// unfreeze lets the owner go on after a hand-over has failed. The term's mu is held.
func (t *term) unfreeze() {
	t.frozen, t.resigning, t.resignInDoubt = false, false, false
	signal(t.wakeDecider)
	for _, sess := range t.sessions {
		signal(sess.pollRequested) // Reports were ignored.
	}
}

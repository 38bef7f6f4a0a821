package pace

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
	"github.com/balsamford/balsamford/trial/calls"
	"github.com/balsamford/balsamford/trial/load"
	"github.com/balsamford/balsamford/trial/rules"
	"github.com/balsamford/balsamford/trial/site"
)

const (
	// callTimeout bounds one call to an entry.
	callTimeout = 15 * time.Second
	// defaultDeadline is the deadline of requests outside the overload measures.
	defaultDeadline = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 100 * time.Millisecond
)

// caller sends quick requests, for all teams in turn or for one team. It may be
// used concurrently.
type caller struct {
	site     *site.Site
	balancer *balancer
	client   *calls.Client
	queue    string
	secrets  []string
	number   atomic.Int64
}

func newCaller(st *site.Site) *caller {
	set := st.Publisher().Set()
	c := &caller{site: st, balancer: newBalancer(st), client: calls.New(callTimeout, calls.WithIdle(idleTimeout)), queue: load.Queue(set, wire.Quick)}
	for _, k := range load.Keys(set) {
		c.secrets = append(c.secrets, rules.Secret(k.Name))
	}
	return c
}

func (c *caller) close() { c.client.Close() }

// send sends one request and, if its profile says so, retries it with the
// remaining deadline while it is refused. The elapsed time includes all tries.
func (c *caller) send(p profile) result {
	n := int(c.number.Add(1))
	request := calls.Request{Queue: c.queue, Kind: wire.Quick, Needs: needs(), Tasks: 1, Idempotent: true, Deadline: setup.Duration(p.deadline)}
	request.Body = engine.Body{Work: setup.Duration(p.work), Seed: uint64(n), Tag: "p-" + strconv.Itoa(n), Size: answerBytes}
	res := result{sent: time.Now()}
	secret := p.secret
	if secret == "" {
		secret = c.secrets[n%len(c.secrets)]
	}
	for try := n; ; try++ {
		tryStart := time.Since(res.sent)
		reply, err := c.client.Submit(c.balancer.entryAddress(try), secret, &request)
		res.elapsed = time.Since(res.sent)
		if err == nil && reply.Outcome == wire.NotRun {
			res.refusals = append(res.refusals, res.elapsed-tryStart)
		}
		res.done = err == nil && reply.Outcome == wire.Done && request.Matches("0", reply.Answer)
		res.reason = reason(reply, err)
		if res.done || !p.retry || res.elapsed+retryInterval >= p.deadline || reply.Outcome != wire.NotRun {
			return res
		}
		request.Deadline = setup.Duration(p.deadline - res.elapsed)
		time.Sleep(retryInterval)
	}
}

// retryInterval is the pause after a refusal before the next try.
const retryInterval = 20 * time.Millisecond

func reason(r calls.Reply, err error) string {
	if err != nil {
		return err.Error()
	}
	return string(r.Outcome) + " " + r.Reason
}

// answerBytes is the size of each answer.
const answerBytes = 1000

func needs() wire.Needs { return wire.Needs{Slots: 1, Conns: 1} }

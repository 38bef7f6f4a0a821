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
	// callTime bounds one call.
	callTime = 15 * time.Second
	// deadline is that of requests whose callers have time.
	deadline = 10 * time.Second
	// idleTime is how long a connection is kept between two requests.
	idleTime = 100 * time.Millisecond
)

// caller sends quick requests of all teams in turn. It may be used
// concurrently.
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
	c := &caller{site: st, balancer: newBalancer(st), client: calls.New(callTime, calls.WithIdle(idleTime)), queue: load.Queue(set, wire.Quick)}
	for _, k := range load.Keys(set) {
		c.secrets = append(c.secrets, rules.Secret(k.Name))
	}
	return c
}

func (c *caller) close() { c.client.Close() }

// send sends one request, from now to its outcome.
func (c *caller) send(k kind) served {
	n := int(c.number.Add(1))
	f := calls.Request{Queue: c.queue, Kind: wire.Quick, Needs: needs(), Tasks: 1, Idempotent: true, Deadline: setup.Duration(k.deadline)}
	f.Body = engine.Body{Work: setup.Duration(k.work), Seed: uint64(n), Tag: "p-" + strconv.Itoa(n), Size: answerSize}
	s := served{sent: time.Now()}
	secret := k.secret
	if secret == "" {
		secret = c.secrets[n%len(c.secrets)]
	}
	for try := n; ; try++ {
		asked := time.Since(s.sent)
		reply, err := c.client.Submit(c.balancer.door(try), secret, &f)
		s.took = time.Since(s.sent)
		if err == nil && reply.Outcome == wire.NotRun {
			s.refusals = append(s.refusals, s.took-asked)
		}
		s.done = err == nil && reply.Outcome == wire.Done && f.Matches("0", reply.Answer)
		s.reason = reason(reply, err)
		if s.done || !k.again || s.took+pauseTime >= k.deadline || reply.Outcome != wire.NotRun {
			return s
		}
		f.Deadline = setup.Duration(k.deadline - s.took)
		time.Sleep(pauseTime)
	}
}

// pauseTime is how long a refused caller waits before it tries again.
const pauseTime = 20 * time.Millisecond

func reason(r calls.Reply, err error) string {
	if err != nil {
		return err.Error()
	}
	return string(r.Outcome) + " " + r.Reason
}

// answerSize is the size of an answer in bytes.
const answerSize = 1000

func needs() wire.Needs { return wire.Needs{Slots: 1, Conns: 1} }

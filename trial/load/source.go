package load

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
	"github.com/balsamford/balsamford/trial/calls"
)

const (
	gibibyte = 1 << 30
	// One in openOneIn quick requests goes to the open queue, without a key.
	openOneIn = 10
	// One in largeOneIn quick requests may have a large answer.
	largeOneIn = 50
	// One in nonIdempotentOneIn requests is not idempotent.
	nonIdempotentOneIn  = 3
	maxAnswerBytes      = 20_000    // bytes of a quick answer
	maxLargeAnswerBytes = 2_000_000 // bytes of a large quick answer
)

// item is one request and how its caller sends it.
type item struct {
	request     calls.Request
	team        team          // empty for the open queue
	firstEntry  int           // index of the entry of the first try, modulo their number
	serviceTime time.Duration // how long a service runs before it is cancelled
}

// source generates requests. The same seed and objects give the same sequence.
type source struct {
	seed      uint64
	teams     []team
	queues    map[wire.Kind]string
	openQueue string
}

func newSource(seed uint64, set *config.Set) *source {
	queues, openQueue := queuesOf(set)
	return &source{seed: seed, teams: teamsOf(set), queues: queues, openQueue: openQueue}
}

// item returns request number n.
func (s *source) item(n int) item {
	r := rand.New(rand.NewPCG(s.seed, uint64(n))) //nolint:gosec // Trials must be reproducible from their seed.
	it := item{team: s.pickTeam(r), firstEntry: r.IntN(1 << 16), serviceTime: time.Second + time.Duration(r.IntN(2000))*time.Millisecond}
	it.request = calls.Request{ID: "t-" + strconv.FormatUint(s.seed, 36) + "-" + strconv.Itoa(n), Tasks: 1, Name: "job-" + strconv.Itoa(r.IntN(8)),
		Idempotent: r.IntN(nonIdempotentOneIn) > 0}
	it.request.Body = engine.Body{Seed: r.Uint64() >> 12, Tag: it.request.ID, Once: !it.request.Idempotent}
	switch p := r.IntN(100); {
	case p < 88:
		s.quick(r, &it)
	case p < 94:
		s.job(r, &it, wire.Batch)
	case p < 97:
		s.job(r, &it, wire.Gang)
	default:
		s.job(r, &it, wire.Service)
	}
	return it
}

func (s *source) quick(r *rand.Rand, it *item) {
	req := &it.request
	req.Kind, req.Queue = wire.Quick, s.queues[wire.Quick]
	if s.openQueue != "" && r.IntN(openOneIn) == 0 {
		it.team, req.Queue = team{}, s.openQueue
	}
	req.Needs = wire.Needs{Slots: 1, Conns: 1}
	req.Deadline = setup.Duration(10 * time.Second)
	req.Urgent = r.IntN(4) == 0
	req.Body.Work = setup.Duration(time.Duration(5+r.IntN(35)) * time.Millisecond)
	req.Body.Size = r.IntN(maxAnswerBytes)
	if r.IntN(largeOneIn) == 0 {
		req.Body.Size = r.IntN(maxLargeAnswerBytes)
	}
}

func (s *source) job(r *rand.Rand, it *item, kind wire.Kind) {
	req := &it.request
	req.Kind, req.Queue, req.Tasks = kind, s.queues[kind], 1+r.IntN(4)
	req.Needs = wire.Needs{CPU: 500 * int64(1+r.IntN(8)), Mem: gibibyte * int64(1+r.IntN(8))}
	work := time.Duration(200+r.IntN(1300)) * time.Millisecond
	req.Runtime = setup.Duration(work)
	req.Body.Use = 0.3 + 0.7*r.Float64()
	req.Body.Size = r.IntN(2000)
	if kind != wire.Service {
		req.Body.Work = setup.Duration(work)
	}
}

// pickTeam returns a random team with a probability proportional to its weight.
func (s *source) pickTeam(r *rand.Rand) team {
	total := 0.0
	for _, t := range s.teams {
		total += t.weight
	}
	point := r.Float64() * total
	for _, t := range s.teams {
		if point -= t.weight; point < 0 {
			return t
		}
	}
	return s.teams[len(s.teams)-1]
}

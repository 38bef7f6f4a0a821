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
	gigabyte = 1 << 30
	// openPart is one in how many quick requests comes without a key.
	openPart = 10
	// largePart is one in how many quick answers is large.
	largePart = 50
	// oncePart is one in how many requests is not idempotent.
	oncePart  = 3
	smallSize = 20_000    // bytes of an answer, at most
	largeSize = 2_000_000 // bytes of a large answer, at most
)

// item is one request to be sent.
type item struct {
	form calls.Request
	team team // empty for the open queue
	door int
	stay time.Duration // of a service, before it is cancelled
}

// source makes the same list of requests from the same seed.
type source struct {
	seed   uint64
	teams  []team
	queues map[wire.Kind]string
	open   string
}

func newSource(seed uint64, set *config.Set) *source {
	queues, open := queuesOf(set)
	return &source{seed: seed, teams: teamsOf(set), queues: queues, open: open}
}

// item returns request number n.
func (s *source) item(n int) item {
	r := rand.New(rand.NewPCG(s.seed, uint64(n))) //nolint:gosec // Trials need the same numbers again.
	it := item{team: s.pick(r), door: r.IntN(1 << 16), stay: time.Second + time.Duration(r.IntN(2000))*time.Millisecond}
	it.form = calls.Request{ID: "t-" + strconv.FormatUint(s.seed, 36) + "-" + strconv.Itoa(n), Tasks: 1, Name: "job-" + strconv.Itoa(r.IntN(8)),
		Idempotent: r.IntN(oncePart) > 0}
	it.form.Body = engine.Body{Seed: r.Uint64() >> 12, Tag: it.form.ID, Once: !it.form.Idempotent}
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
	f := &it.form
	f.Kind, f.Queue = wire.Quick, s.queues[wire.Quick]
	if s.open != "" && r.IntN(openPart) == 0 {
		it.team, f.Queue = team{}, s.open
	}
	f.Needs = wire.Needs{Slots: 1, Conns: 1}
	f.Deadline = setup.Duration(10 * time.Second)
	f.Urgent = r.IntN(4) == 0
	f.Body.Work = setup.Duration(time.Duration(5+r.IntN(35)) * time.Millisecond)
	f.Body.Size = r.IntN(smallSize)
	if r.IntN(largePart) == 0 {
		f.Body.Size = r.IntN(largeSize)
	}
}

func (s *source) job(r *rand.Rand, it *item, kind wire.Kind) {
	f := &it.form
	f.Kind, f.Queue, f.Tasks = kind, s.queues[kind], 1+r.IntN(4)
	f.Needs = wire.Needs{CPU: 500 * int64(1+r.IntN(8)), Mem: gigabyte * int64(1+r.IntN(8))}
	work := time.Duration(200+r.IntN(1300)) * time.Millisecond
	f.Runtime = setup.Duration(work)
	f.Body.Use = 0.3 + 0.7*r.Float64()
	f.Body.Size = r.IntN(2000)
	if kind != wire.Service {
		f.Body.Work = setup.Duration(work)
	}
}

// pick returns a team by weight.
func (s *source) pick(r *rand.Rand) team {
	total := 0.0
	for _, t := range s.teams {
		total += t.weight
	}
	x := r.Float64() * total
	for _, t := range s.teams {
		if x -= t.weight; x < 0 {
			return t
		}
	}
	return s.teams[len(s.teams)-1]
}

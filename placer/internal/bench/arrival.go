package bench

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// arrival is a request and what its tasks really do.
type arrival struct {
	at   time.Duration
	item sched.Item
	runs []time.Duration // how long each task takes
	used float64         // what each task uses, over what it declares
}

const (
	gib = int64(1) << 30

	// Wrong sizes and run times lie between these factors.
	leastWrong = 0.3
	mostWrong  = 5.0
	// Their logarithms are spread so far for a job and for its tasks.
	spreadBias  = 0.4
	spreadWrong = 0.3
)

// source makes the arrivals of a load.
type source struct {
	load Load
	rng  *rand.Rand
	list []arrival

	biases map[string]float64 // by job
}

// Arrivals returns what arrives under a load, in order of time.
func (l Load) arrivals() []arrival {
	s := &source{load: l, biases: make(map[string]float64), rng: rand.New(rand.NewPCG(l.Seed, 1))} // #nosec G404 -- the list has to be repeatable
	s.services()
	s.poisson(l.Quick, s.quick)
	s.poisson(l.Batch/batchMean, s.batch)
	s.poisson(l.Urgent, s.urgent)
	s.poisson(l.Gangs, s.gang)
	s.wave()
	slices.SortStableFunc(s.list, func(a, b arrival) int { return int(a.at - b.at) })
	return s.list
}

// poisson calls f at random moments, rate times a second and more in bursts.
func (s *source) poisson(rate float64, f func(at time.Duration)) {
	if rate <= 0 {
		return
	}
	for at := time.Duration(0); ; {
		r := rate
		if s.load.Burst > 0 && at%s.load.Every < s.load.Every/10 {
			r *= s.load.Burst
		}
		at += time.Duration(s.rng.ExpFloat64() / r * float64(time.Second))
		if at >= s.load.Length {
			return
		}
		f(at)
	}
}

// factor returns how far a declared size is off.
func (s *source) factor() float64 {
	if !s.load.Wrong {
		return 1
	}
	return math.Exp(s.rng.NormFloat64() * spreadWrong)
}

// bias returns how far all declarations of a job are off together.
func (s *source) bias(item *sched.Item, what string) float64 {
	if !s.load.Wrong {
		return 1
	}
	k := item.Team + "/" + item.Name + "/" + what
	b, ok := s.biases[k]
	if !ok {
		b = math.Exp(s.rng.NormFloat64() * spreadBias)
		s.biases[k] = b
	}
	return b
}

func bound(f float64) float64 { return min(max(f, leastWrong), mostWrong) }

func (s *source) add(at time.Duration, item sched.Item, run time.Duration) {
	item.ID = string(item.Kind) + strconv.Itoa(len(s.list))
	item.Runtime = run
	size, length := s.bias(&item, "size"), s.bias(&item, "time")
	a := arrival{at: at, item: item, used: bound(size * s.factor())}
	for range max(item.Tasks, 1) {
		a.runs = append(a.runs, time.Duration(float64(run)*bound(length*s.factor())))
	}
	s.list = append(s.list, a)
}

func (s *source) team() string {
	if s.rng.Float64() < s.load.Greedy {
		return teamName(0)
	}
	return teamName(s.rng.IntN(s.load.Teams))
}

func teamName(i int) string { return "team" + strconv.Itoa(i) }

// spread returns d taken 0.5 to 1.5 times.
func (s *source) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + s.rng.Float64()))
}

func (s *source) quick(at time.Duration) {
	s.add(at, sched.Item{
		Team: teamName(s.rng.IntN(s.load.Teams)), Queue: "quick", Kind: wire.Quick, Urgent: true,
		Needs: wire.Needs{Slots: 1, Conns: 1 + s.rng.Int64N(8)}, Name: "check",
	}, s.spread(s.load.QuickRun))
}

// needs returns one of a few shapes, some of which need accelerators.
func (s *source) needs() wire.Needs {
	n := wire.Needs{CPU: 1000 << s.rng.IntN(4)}
	n.Mem = n.CPU / 1000 * (1 + s.rng.Int64N(6)) * gib
	if s.load.Accels > 0 && s.rng.Float64() < 0.15 {
		n.Accel = 1 + s.rng.Int64N(2)
	}
	return n
}

// batchMean is the mean number of tasks of a batch request.
const batchMean = 5.5

func (s *source) batch(at time.Duration) {
	s.add(at, sched.Item{
		Team: s.team(), Queue: "batch", Kind: wire.Batch, Needs: s.needs(),
		Tasks: 1 + s.rng.IntN(10), Name: "plan" + strconv.Itoa(s.rng.IntN(5)),
	}, s.spread(s.load.BatchRun))
}

func (s *source) urgent(at time.Duration) {
	s.add(at, sched.Item{
		Team: teamName(s.rng.IntN(s.load.Teams)), Queue: "urgent", Kind: wire.Batch, Urgent: true,
		Needs: wire.Needs{CPU: 1000, Mem: 2 * gib}, Name: "proof",
	}, s.spread(2*time.Second))
}

func (s *source) gang(at time.Duration) {
	s.add(at, sched.Item{
		Team: teamName(s.rng.IntN(s.load.Teams)), Queue: "gang", Kind: wire.Gang,
		Needs: wire.Needs{CPU: 4000, Mem: 8 * gib}, Tasks: s.load.GangSize, Name: "train",
	}, s.spread(s.load.BatchRun))
}

// services arrive in the first second and stay.
func (s *source) services() {
	whole := int64(s.load.Workers) * workerCPU
	need := wire.Needs{CPU: 2000, Mem: 6 * gib}
	n := int(float64(whole) * s.load.Services / float64(need.CPU))
	for n > 0 {
		k := min(n, 8)
		n -= k
		s.add(time.Duration(s.rng.Int64N(int64(time.Second))), sched.Item{
			Team: teamName(s.rng.IntN(s.load.Teams)), Queue: "service", Kind: wire.Service, Needs: need, Tasks: k, Name: "site",
		}, time.Hour)
	}
}

// wave is a crowd of requests that is cancelled later.
func (s *source) wave() {
	at := s.load.Length/2 - 5*time.Second
	for range s.load.Cancels {
		s.add(at, sched.Item{
			Team: teamName(0), Queue: "wave", Kind: wire.Batch, Needs: wire.Needs{CPU: 8000, Mem: 8 * gib}, Tasks: 1, Name: waveName,
		}, s.load.BatchRun)
	}
}

const waveName = "wave"

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

// arrival is a request and the actual run times and usage of its tasks.
type arrival struct {
	at        time.Duration
	item      sched.Item
	runTimes  []time.Duration // actual run time of each task
	usedRatio float64         // usage of each task as a multiple of its declared needs
}

const (
	gib = int64(1) << 30

	// Actual sizes and run times are between these multiples of the declared
	// ones.
	minError = 0.3
	maxError = 5.0
	// Standard deviations of the logarithms of these multiples, for the error
	// that all tasks of a job share and for the error of each task.
	jobErrorSigma  = 0.4
	taskErrorSigma = 0.3
)

// generator generates the arrivals of a load.
type generator struct {
	load     Load
	rng      *rand.Rand
	arrivals []arrival

	jobErrors map[string]float64 // by team, job name and quantity
}

// arrivals returns the arrivals of a load in order of time.
func (l Load) arrivals() []arrival {
	s := &generator{load: l, jobErrors: make(map[string]float64), rng: rand.New(rand.NewPCG(l.Seed, 1))} // #nosec G404 -- the list has to be repeatable
	s.services()
	s.poisson(l.Quick, s.quick)
	s.poisson(l.Batch/batchMean, s.batch)
	s.poisson(l.Urgent, s.urgent)
	s.poisson(l.Gangs, s.gang)
	s.cancelWave()
	slices.SortStableFunc(s.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return s.arrivals
}

// poisson calls f at the times of a Poisson process with the given rate per
// second, which is higher in bursts.
func (s *generator) poisson(rate float64, f func(at time.Duration)) {
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

// taskError returns the actual size or run time of a task as a multiple of the
// declared one.
func (s *generator) taskError() float64 {
	if !s.load.Wrong {
		return 1
	}
	return math.Exp(s.rng.NormFloat64() * taskErrorSigma)
}

// jobError returns the error that all tasks of a job share, as such a multiple.
func (s *generator) jobError(item *sched.Item, what string) float64 {
	if !s.load.Wrong {
		return 1
	}
	k := item.Team + "/" + item.Name + "/" + what
	b, ok := s.jobErrors[k]
	if !ok {
		b = math.Exp(s.rng.NormFloat64() * jobErrorSigma)
		s.jobErrors[k] = b
	}
	return b
}

func clampError(f float64) float64 { return min(max(f, minError), maxError) }

func (s *generator) add(at time.Duration, item sched.Item, runTime time.Duration) {
	item.ID = string(item.Kind) + strconv.Itoa(len(s.arrivals))
	item.Runtime = runTime
	size, length := s.jobError(&item, "size"), s.jobError(&item, "time")
	a := arrival{at: at, item: item, usedRatio: clampError(size * s.taskError())}
	for range max(item.Tasks, 1) {
		a.runTimes = append(a.runTimes, time.Duration(float64(runTime)*clampError(length*s.taskError())))
	}
	s.arrivals = append(s.arrivals, a)
}

func (s *generator) team() string {
	if s.rng.Float64() < s.load.Greedy {
		return teamName(0)
	}
	return teamName(s.rng.IntN(s.load.Teams))
}

func teamName(i int) string { return "team" + strconv.Itoa(i) }

// jitter returns d multiplied by a random factor from 0.5 to 1.5.
func (s *generator) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + s.rng.Float64()))
}

func (s *generator) quick(at time.Duration) {
	s.add(at, sched.Item{
		Team: teamName(s.rng.IntN(s.load.Teams)), Queue: "quick", Kind: wire.Quick, Urgent: true,
		Needs: wire.Needs{Slots: 1, Conns: 1 + s.rng.Int64N(8)}, Name: "check",
	}, s.jitter(s.load.QuickRun))
}

// needs returns random needs, some of them with accelerators.
func (s *generator) needs() wire.Needs {
	n := wire.Needs{CPU: 1000 << s.rng.IntN(4)}
	n.Mem = n.CPU / 1000 * (1 + s.rng.Int64N(6)) * gib
	if s.load.Accels > 0 && s.rng.Float64() < 0.15 {
		n.Accel = 1 + s.rng.Int64N(2)
	}
	return n
}

// batchMean is the mean number of tasks of a batch request.
const batchMean = 5.5

func (s *generator) batch(at time.Duration) {
	s.add(at, sched.Item{
		Team: s.team(), Queue: "batch", Kind: wire.Batch, Needs: s.needs(),
		Tasks: 1 + s.rng.IntN(10), Name: "plan" + strconv.Itoa(s.rng.IntN(5)),
	}, s.jitter(s.load.BatchRun))
}

func (s *generator) urgent(at time.Duration) {
	s.add(at, sched.Item{
		Team: teamName(s.rng.IntN(s.load.Teams)), Queue: "urgent", Kind: wire.Batch, Urgent: true,
		Needs: wire.Needs{CPU: 1000, Mem: 2 * gib}, Name: "proof",
	}, s.jitter(2*time.Second))
}

func (s *generator) gang(at time.Duration) {
	s.add(at, sched.Item{
		Team: teamName(s.rng.IntN(s.load.Teams)), Queue: "gang", Kind: wire.Gang,
		Needs: wire.Needs{CPU: 4000, Mem: 8 * gib}, Tasks: s.load.GangSize, Name: "train",
	}, s.jitter(s.load.BatchRun))
}

// services adds services that arrive in the first second and run to the end.
func (s *generator) services() {
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

// cancelWave adds requests that arrive together and are cancelled together
// later.
func (s *generator) cancelWave() {
	at := s.load.Length/2 - 5*time.Second
	for range s.load.Cancels {
		s.add(at, sched.Item{
			Team: teamName(0), Queue: "wave", Kind: wire.Batch, Needs: wire.Needs{CPU: 8000, Mem: 8 * gib}, Tasks: 1, Name: waveJobName,
		}, s.load.BatchRun)
	}
}

const waveJobName = "wave"

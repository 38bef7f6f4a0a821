package admit

import (
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/plan"
)

const (
	// returnWindow is how long after its Retry-After a returning job is preferred over new ones.
	returnWindow = time.Second
	// maxReturns bounds the rejected jobs that are remembered. Without a bound, clients
	// that send new IDs could fill the memory.
	maxReturns = 5000
	// minReturnPace is the least pace at which jobs of a lane are asked to return, per second. Without
	// it the first job of a queue that has started nothing would return never.
	minReturnPace = 0.2
	// passTime is how long a job that was accepted isn't decided on again. Its write may be in progress, or in doubt,
	// so that a rejection might not be true; clients try again within that time.
	passTime = 15 * time.Second
	// sampleInterval is the share of the verdicts against jobs of a lane that aren't carried out. The
	// owner needs them to see whether forecasts hold, and no lane is starved by wrong ones.
	sampleInterval = 8
)

// lane is the queue and team of a job. Jobs of a lane return in the order in which they came.
type lane struct{ queue, team string }

// absence is a rejected job that is expected to return.
type absence struct {
	lane  lane
	first time.Time // first attempt of its client
	due   time.Time
}

// Gate decides on the jobs that a host receives, and remembers those that it rejected. It may be used
// concurrently.
type Gate struct {
	mu       sync.Mutex // guards the fields below
	absences map[string]absence
	latest   map[lane]time.Time // when the last job of a lane is due
	expected map[lane]int       // jobs of a lane that are to return
	swept    time.Time
	forecast *plan.Forecast       // that sent refers to
	sent     map[string]int       // jobs that were accepted under it, by team
	turns    map[lane]int         // verdicts against jobs
	passed   map[string]time.Time // when jobs were accepted
}

// New returns a Gate that has rejected no job.
func New() *Gate {
	return &Gate{absences: make(map[string]absence), latest: make(map[lane]time.Time), expected: make(map[lane]int), sent: make(map[string]int), turns: make(map[lane]int), passed: make(map[string]time.Time)}
}

// Decide decides on a job at now by a forecast of the given age, which may be nil. hosts is the number of
// hosts that receive jobs.
func (g *Gate) Decide(now time.Time, job *model.Job, forecast *plan.Forecast, age time.Duration, hosts int) Verdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	if _, ok := g.passed[job.ID]; ok {
		return Verdict{Objective: plan.Objective(job)}
	}
	if forecast != g.forecast {
		g.forecast = forecast
		clear(g.sent)
	}
	a := Arrival{Job: job}
	before, known := g.absences[job.ID]
	early := known && now.Before(before.due)
	l, spacing := lane{job.Queue, job.Team}, time.Duration(0)
	switch {
	case early:
		a.Waited = now.Sub(before.first)
	case !known:
		before = absence{lane: l, first: now}
	}
	if forecast != nil {
		spacing = g.spacing(l, forecast, hosts)
		due := 0
		if !known || early {
			due = g.due(l, now)
		}
		if q := forecast.Queues[job.Queue]; q != nil && q.Pace > 0 {
			a.Ahead = min(returnWindow, time.Duration(float64(due)/q.Pace*float64(time.Second)))
		}
		a.BeyondQuota = forecast.Left(job.Team, age, hosts)-float64(g.sent[job.Team]+due) < 1
	}
	v := Decide(a, forecast, age)
	if v.Rejected && !early {
		if g.turns[l]++; g.turns[l]%sampleInterval == 0 {
			v.Rejected, v.Sample = false, true
		}
	}
	switch {
	case !v.Rejected:
		g.pass(job.ID, now)
		if !a.BeyondQuota {
			g.sent[job.Team]++ // Jobs beyond the quota don't use it up.
		}
	case early:
		v.Retry = wholeSeconds(before.due.Sub(now)) // It keeps its place.
	default:
		before.due = now.Add(v.Retry)
		if last := g.latest[l]; !known && g.expected[l] > 0 && last.Add(spacing).After(before.due) {
			before.due = last.Add(spacing)
		}
		v.Retry = wholeSeconds(before.due.Sub(now))
		before.due = now.Add(v.Retry)
		g.expect(job.ID, before)
	}
	return v
}

// Pass notes at now that a job is accepted whatever the verdict was.
func (g *Gate) Pass(now time.Time, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pass(id, now)
}

func (g *Gate) pass(id string, now time.Time) {
	g.forget(id)
	g.passed[id] = now
}

// expect notes when a rejected job is expected to return.
func (g *Gate) expect(id string, x absence) {
	g.forget(id)
	if len(g.absences) >= maxReturns {
		return
	}
	g.absences[id] = x
	g.expected[x.lane]++
	if x.due.After(g.latest[x.lane]) {
		g.latest[x.lane] = x.due
	}
}

// forget removes a job from those that are expected.
func (g *Gate) forget(id string) {
	x, ok := g.absences[id]
	if !ok {
		return
	}
	delete(g.absences, id)
	g.expected[x.lane]--
	if g.expected[x.lane] == 0 {
		delete(g.expected, x.lane)
		delete(g.latest, x.lane)
	}
}

// due returns the number of jobs of a lane that are expected now.
func (g *Gate) due(l lane, now time.Time) int {
	if g.expected[l] == 0 {
		return 0
	}
	n := 0
	for _, x := range g.absences {
		if x.lane == l && !now.Before(x.due) && now.Sub(x.due) <= returnWindow {
			n++
		}
	}
	return n
}

// spacing returns the time between two returns of a lane, so that jobs come back at the pace at which
// those of the queue start. The hosts, and the lanes of a host, share it.
func (g *Gate) spacing(l lane, forecast *plan.Forecast, hosts int) time.Duration {
	pace := 0.0
	if q := forecast.Queues[l.queue]; q != nil {
		pace = q.Pace
	}
	sharing := 0
	for x := range g.expected {
		if x.queue == l.queue {
			sharing++
		}
	}
	pace = max(minReturnPace, pace/float64(max(1, hosts)*max(1, sharing)))
	return time.Duration(float64(time.Second) / pace)
}

// sweep forgets the jobs that have not returned in time.
func (g *Gate) sweep(now time.Time) {
	if now.Sub(g.swept) < returnWindow {
		return
	}
	g.swept = now
	for id, at := range g.passed {
		if now.Sub(at) > passTime {
			delete(g.passed, id)
		}
	}
	for id, x := range g.absences {
		if now.Sub(x.due) > returnWindow {
			g.forget(id)
		}
	}
}

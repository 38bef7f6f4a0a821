package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/admit"
	"github.com/balsamford/balsamford/node/internal/plan"
)

const (
	step      = 50 * time.Millisecond
	executors = 10
	cores     = 32
)

var start = time.Unix(1_800_000_000, 0)

// kind is a kind of jobs that a team sends.
type kind struct {
	queue  string
	tasks  int
	cpu    int64
	takes  time.Duration // the estimate is off by up to a third
	perSec float64       // jobs of all teams
}

var (
	short  = kind{queue: "short", tasks: 1, cpu: 2000, takes: 600 * time.Millisecond, perSec: 24}
	long   = kind{queue: "long", tasks: 8, cpu: 4000, takes: 2500 * time.Millisecond, perSec: 1.8}
	larger = kind{queue: "long", tasks: 30, cpu: 4000, takes: 4 * time.Second, perSec: 0.1}
	queues = []model.Queue{
		{Name: "short", Service: "s", Attempts: 2, Stretch: 1.5, Slack: time.Second},
		{Name: "long", Service: "s", Priority: 2, Attempts: 2, Stretch: 2, Slack: 5 * time.Second},
	}
	teams = []string{"a", "b", "c", "d"}
)

// sent is a job that was submitted.
type sent struct {
	job     *model.Job
	kind    kind
	verdict admit.Verdict
	added   bool
	tasks   int
	at      time.Time
	ended   time.Time // zero if it hasn't
}

// worthless reports whether the job ended too late to be worth anything.
func (s *sent) worthless() bool {
	return s.ended.IsZero() || s.ended.Sub(s.at) > plan.WorthlessAfter(s.verdict.Objective)
}

// replay drives a plan on a few executors.
type replay struct {
	state    *plan.State
	config   *model.Config
	gate     *admit.Gate
	forecast *plan.Forecast
	made     time.Time
	now      time.Time
	rand     *rand.Rand
	allow    *rand.Rand // of the adviser
	jobs     map[string]*sent
	all      []*sent
	runs     map[time.Time][]plan.Start         // by end
	reject   bool                               // jobs are rejected; otherwise verdicts have no effect
	load     float64                            // multiplies what teams usually send
	answers  map[time.Time][]plan.AdviceRequest // by the time of the answer
	most     int                                // largest number of tasks that waited
}

func newReplay(seed uint64, reject bool, capacity model.Amount, slots int) *replay {
	config := make([]model.Team, 0, len(teams))
	for _, t := range teams {
		config = append(config, model.Team{Name: t, Weight: 9, Limit: capacity})
	}
	all := slices.Clone(queues)
	if slots > 0 {
		all[1].Advised, all[1].Decide, all[1].Each, all[1].Valid = true, 500*time.Millisecond, 7*time.Millisecond, 2500*time.Millisecond
	}
	r := &replay{
		answers: make(map[time.Time][]plan.AdviceRequest),
		config:  model.NewConfig(1, all, []model.Service{{Name: "s"}}, config), gate: admit.New(), now: start, rand: rand.New(rand.NewPCG(seed, 1)), allow: rand.New(rand.NewPCG(seed, 2)),
		load: 1, jobs: make(map[string]*sent), runs: make(map[time.Time][]plan.Start), reject: reject,
	}
	r.state = plan.New(r.config)
	r.state.SetAdviceSlots(max(1, slots))
	for i := range executors {
		id := fmt.Sprintf("e%d", i)
		r.state.SetExecutor(model.Executor{ID: id, Service: "s", Room: model.Amount{CPU: cores * 1000, Memory: 1 << 20}})
		r.state.Reported(start, id, plan.Report{RequestedAt: start})
	}
	r.state.AllExecutorsListed(start)
	return r
}

// submit submits a job of a team.
func (r *replay) submit(k kind, team string) {
	id := fmt.Sprintf("%016x", len(r.all))
	estimate := time.Duration(float64(k.takes) * (0.7 + 0.6*r.rand.Float64()))
	queue := r.config.Queues[k.queue]
	j := &model.Job{
		ID: id, Queue: k.queue, Team: team, Sent: r.now, Terms: &model.Terms{Queue: queue},
		Steps: []model.Step{{Count: k.tasks, Need: model.Amount{CPU: k.cpu, Memory: 10}, Estimate: estimate}},
	}
	s := &sent{job: j, kind: k, at: r.now, tasks: k.tasks}
	s.verdict = r.gate.Decide(r.now, j, r.forecast, r.now.Sub(r.made), 1)
	r.all = append(r.all, s)
	if s.verdict.Rejected && r.reject {
		return
	}
	s.added, r.jobs[id] = true, s
	r.state.AddJob(r.now, j, nil)
}

// arrive submits the jobs of one step. factor multiplies the rate of a kind for a team.
func (r *replay) arrive(factor func(k kind, team string) float64) {
	for _, k := range []kind{short, long, larger} {
		for _, team := range teams {
			expected := k.perSec / float64(len(teams)) * step.Seconds() * factor(k, team)
			for expected > 0 {
				if r.rand.Float64() < expected {
					r.submit(k, team)
				}
				expected--
			}
		}
	}
}

// advance makes the next decision.
func (r *replay) advance() {
	r.now = r.now.Add(step)
	for _, o := range r.runs[r.now] {
		r.state.Reported(r.now, o.Executor, plan.Report{RequestedAt: r.now.Add(-time.Second), More: true, Ends: []model.End{{Seq: 1, Task: o.Task, Number: o.Number, Outcome: model.RunDone}}})
		if s := r.jobs[o.Task.Job]; s.tasks > 0 {
			if s.tasks--; s.tasks == 0 {
				s.ended = r.now
			}
		}
	}
	delete(r.runs, r.now)
	for _, q := range r.answers[r.now] {
		tickets := make(map[string]string)
		for _, id := range q.Executors {
			if r.allow.IntN(3) == 0 {
				tickets[id] = "ticket"
			}
		}
		r.state.AdviceReceived(r.now, q, tickets, 2500*time.Millisecond)
	}
	delete(r.answers, r.now)
	orders := r.state.Decide(r.now)
	for _, q := range orders.AdviceRequests {
		at := r.now.Add(q.EstimatedTime.Truncate(step) + step)
		r.answers[at] = append(r.answers[at], q)
	}
	for _, o := range orders.Starts {
		r.state.Started(r.now, o)
		end := r.now.Add(r.jobs[o.Task.Job].kind.takes.Truncate(step))
		r.runs[end] = append(r.runs[end], o)
	}
	r.most = max(r.most, r.state.Waiting())
	if r.now.Sub(r.made) >= 250*time.Millisecond {
		r.forecast, r.made = r.state.Forecast(r.now), r.now
	}
}

// burst is the typical heavy load: a team sends five times its usual for 8 s, and the jobs of a queue
// double for 4 s.
func (r *replay) burst(k kind, team string) float64 {
	x, at := r.load, r.now.Sub(start)
	if team == "a" {
		x *= 2
	}
	if at > 60*time.Second {
		return 0
	}
	if team == "a" && at >= 5*time.Second && at < 13*time.Second {
		x *= 5
	}
	if k.queue == "long" && at >= 8*time.Second && at < 12*time.Second {
		x *= 2
	}
	return x
}

func (r *replay) run(d time.Duration, load func(k kind, team string) float64) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.arrive(load)
		r.advance()
	}
}

// outcome counts what became of jobs.
type outcome struct {
	jobs, rejected, wrong, worthless int // wrong: rejected though they ended with value
}

// outcomes returns the outcomes of the jobs for which match returns true.
func (r *replay) outcomes(match func(s *sent) bool) outcome {
	var o outcome
	for _, s := range r.all {
		if !match(s) {
			continue
		}
		o.jobs++
		if s.verdict.Rejected {
			o.rejected++
			if s.added && !s.worthless() {
				o.wrong++
			}
		}
		if s.added && s.worthless() {
			o.worthless++
		}
	}
	return o
}

// value returns the value of the jobs: a fifth for late ones.
func (r *replay) value() float64 {
	sum := 0.0
	for _, s := range r.all {
		switch {
		case !s.added || s.worthless():
		case s.ended.Sub(s.at) <= s.verdict.Objective:
			sum++
		default:
			sum += 0.2
		}
	}
	return sum
}

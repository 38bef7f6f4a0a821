package admit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

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

// A forecast that looks only at the length of the backlog rejects short jobs that would start at once, and
// one without a margin rejects jobs that end in time. Here all jobs are accepted, whatever the verdict, so
// that it can be compared with what the plan then does.
func TestVerdictsAgreeWithThePlan(t *testing.T) {
	tests := map[string]struct {
		load  float64
		limit model.Amount
		slots int // of the adviser, which the long jobs need; 0 for none
	}{
		"usual load near capacity":     {load: 1},
		"burst fills the executors":    {load: 1.1},
		"backlog outlasts the burst":   {load: 1.2},
		"limit of the team":            {load: 0.9, limit: model.Amount{CPU: 100_000}},
		"adviser":                      {load: 0.9, slots: 3},
		"adviser, more load":           {load: 1.1, slots: 4},
		"limit of the team, more load": {load: 1.1, limit: model.Amount{CPU: 110_000}},
	}
	rejected, wrong := 0, 0
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var all, within, others outcome
			for seed := range uint64(3) {
				r := newReplay(seed, false, tt.limit, tt.slots)
				r.load = tt.load
				r.run(100*time.Second, r.burst)
				for sum, match := range map[*outcome]func(s *sent) bool{
					&all: func(*sent) bool { return true }, &within: func(s *sent) bool { return s.kind.queue == "short" && !s.verdict.Beyond }, &others: func(s *sent) bool { return s.job.Team != "a" },
				} {
					o := r.outcomes(match)
					sum.jobs, sum.rejected, sum.wrong, sum.worthless = sum.jobs+o.jobs, sum.rejected+o.rejected, sum.wrong+o.wrong, sum.worthless+o.worthless
				}
			}
			t.Logf("all %+v, short within the quota %+v, other teams %+v", all, within, others)
			rejected, wrong = rejected+all.rejected, wrong+all.wrong
			is.True(all.wrong*200 <= all.jobs)         // few jobs are rejected though they would have value
			is.Equal(within.rejected, 0)               // they start at once
			is.True(others.rejected*50 <= others.jobs) // they don't pay for the burst of another team
		})
	}
	is := is.New(t)
	is.True(rejected >= 200)      // there is something to judge
	is.True(wrong*10 <= rejected) // nine of ten rejections are right
}

// Rejections must not starve a queue, team or size, nor cost more than they save. Here they are carried out.
func TestRejectionsStarveNobody(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		without, with := newReplay(seed, false, model.Amount{}, 0), newReplay(seed, true, model.Amount{}, 0)
		for _, r := range []*replay{without, with} {
			r.load = 1.2 + 0.1*float64(seed)
			r.run(100*time.Second, r.burst)
		}
		t.Logf("value %.0f with and %.0f without rejections; most tasks waiting %d and %d", with.value(), without.value(), with.most, without.most)
		is.True(with.value() >= 0.995*without.value())
		is.True(with.most < without.most) // rejections take work away that would have ended worthless
		for _, k := range []kind{short, long, larger} {
			for _, team := range teams {
				for from := time.Duration(0); from < 60*time.Second; from += 10 * time.Second {
					o := with.outcomes(func(s *sent) bool {
						at := s.at.Sub(start)
						return s.kind.tasks == k.tasks && s.job.Team == team && at >= from && at < from+10*time.Second
					})
					is.True(o.jobs < 10 || o.rejected*10 <= o.jobs*9)
				}
			}
		}
	}
}

package plan

import (
	"math"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

const (
	// forecastWarmUp is how long after its first forecast a State has measured too little to make
	// one.
	forecastWarmUp = 2 * time.Second
	// SizeClasses is the number of classes of sizes for which waits are forecast.
	SizeClasses = 3
)

// usualShare times the work of a usual job is the work from which its forecast holds for a job.
const usualShare = 0.8

// sizeBounds are the sizes in core-seconds from which a job belongs to the second and the third class.
// A task of some cores for some seconds is below the first, and some ten of them below the second.
var sizeBounds = [SizeClasses - 1]float64{16, 128}

// Forecast tells how long new jobs are expected to wait at least until they start, at the pace that was
// measured last. What isn't listed is expected not to wait. It must not be changed.
type Forecast struct {
	Unknown  bool                       `cbor:"1,keyasint,omitempty"` // nothing can be said
	Queues   map[string]*QueueForecast  `cbor:"3,keyasint,omitempty"` // by queue
	Teams    map[string]*TeamForecast   `cbor:"4,keyasint,omitempty"` // by team
	Services map[string]model.Amount    `cbor:"5,keyasint,omitempty"` // by service, the most that an executor has free, of each resource
	Limits   map[string][]LimitForecast `cbor:"6,keyasint,omitempty"` // by team, its waits for its limit
}

// Forecast returns the expected waits of new jobs. The caller calls it each 250 ms or at longer
// intervals, after a decision.
//
// Heavy load: within 15 s, a team that sends five times its usual and a queue that doubles raise the
// waiting tasks from 200 to 9,000. Long jobs beyond the quota will end worthless from some point on,
// while short ones of other teams go on starting at once.
func (s *State) Forecast(now time.Time) *Forecast {
	f := &s.forecaster
	if f.since.IsZero() {
		f.since = now
	}
	out := &Forecast{Unknown: s.paused || now.Sub(f.since) < forecastWarmUp}
	f.checks.expire(now)
	s.noteScarcity(now)
	if !out.Unknown {
		s.fillForecast(out, now)
	}
	f.last = out
	return out
}

// Wait returns how long a new job is expected to wait, by cause. beyondQuota tells whether it exceeds
// its team's quota.
func (f *Forecast) Wait(j *model.Job, beyondQuota bool) Delay {
	size, over := workClass(workOf(j)), 0
	if beyondQuota {
		over = 1
	}
	var d Delay
	if q := f.Queues[j.Queue]; q != nil {
		d.Room = milliseconds(q.Room[over][size])
	}
	if d.Room > 0 && f.mayFit(j) {
		d.Room = 0
	}
	for _, l := range f.Limits[j.Team] {
		if l.Queue == j.Queue {
			d.Limit = milliseconds(l.Waits[over][size])
		}
	}
	if f.favoured(j, size) {
		latest := max(0, Objective(j)-criticalPath(j.Steps))
		d.Room, d.Limit = min(d.Room, latest), min(d.Limit, latest)
	}
	return d
}

// favoured reports whether a job may be in time though a usual one of its class of size isn't: it is worth more for its
// work, or a floor may serve it.
func (f *Forecast) favoured(j *model.Job, size int) bool {
	q, work := f.Queues[j.Queue], workOf(j)
	return q != nil && (work < usualShare*q.Work[size] || q.Large > 0 && work > q.Large)
}

// Margin returns the factor by which the forecast wait of a job may be too long.
func (f *Forecast) Margin(j *model.Job, beyondQuota bool) float64 {
	q := f.Queues[j.Queue]
	switch {
	case q == nil:
		return maxMargin
	case beyondQuota:
		return max(minMargin, q.Margins[1])
	}
	return max(minMargin, q.Margins[0])
}

// mayFit reports whether the first tasks of a job may fit on executors at once. Tasks that waited
// before it are larger then.
func (f *Forecast) mayFit(j *model.Job) bool {
	if j.Terms == nil {
		return false
	}
	free, ok := f.Services[j.Terms.Queue.Service]
	if !ok {
		return false
	}
	for i := range j.Steps {
		if len(j.Steps[i].After) == 0 && !j.Steps[i].Room().Fits(free) {
			return false
		}
	}
	return true
}

// Left returns how many jobs a team may submit within its quota, on one of so many hosts, by a forecast of
// the given age. Hosts share what the quota has gained since.
func (f *Forecast) Left(team string, age time.Duration, hosts int) float64 {
	t := f.Teams[team]
	if t == nil {
		return math.Inf(1)
	}
	return t.Jobs + t.Rate*age.Seconds()/float64(max(1, hosts))
}

// RunTime returns the least time that the steps of a job are expected to take once they start.
func (f *Forecast) RunTime(j *model.Job) time.Duration {
	path := criticalPath(j.Steps)
	if q := f.Queues[j.Queue]; q != nil {
		return path * time.Duration(q.RunTime) / 100
	}
	return path
}

// Objective returns the latency objective of a job under the settings that it carries. It is 0 for
// jobs that recur or have lasting tasks.
func Objective(spec *model.Job) time.Duration {
	if spec.Terms == nil {
		return 0
	}
	j := job{spec: spec, queue: spec.Terms.Queue, criticalPath: criticalPath(spec.Steps)}
	return j.objective()
}

// WorthlessAfter returns the age at which the result of a job has no value any more.
func WorthlessAfter(objective time.Duration) time.Duration { return lateFactor * objective }

// workOf returns the work of a job in core-seconds, by its estimates.
func workOf(j *model.Job) float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += float64(j.Steps[i].Count) * coreSeconds(&j.Steps[i])
	}
	return sum
}

// coreSeconds returns the work of a task in core-seconds, by its estimate.
func coreSeconds(step *model.Step) float64 {
	return float64(step.Room().CPU) / 1000 * step.Estimate.Seconds()
}

// workClass returns the class of a size in core-seconds.
func workClass(work float64) int {
	n := 0
	for n < len(sizeBounds) && work >= sizeBounds[n] {
		n++
	}
	return n
}

// milliseconds returns a number of milliseconds as a duration.
func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

package plan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Small jobs are worth the most for their work. Without a floor, an overload would be met with the
// large jobs of a queue alone.

const (
	// floorShare times how often a queue's jobs are served is how often its large ones are at least.
	floorShare = 0.5
	// floorMargin times that is aimed at, since some of the jobs that are chosen are late in spite of it.
	floorMargin = 1.1
	// floorMemory is the time constant with which ends of jobs are forgotten.
	floorMemory = 30 * time.Second
)

// floor counts a queue's jobs, by size.
type floor struct {
	judged [sizeClasses]float64 // jobs that have ended or missed their objective, decaying
	served [sizeClasses]float64 // of these, jobs that met their objective, decaying
	chosen [sizeClasses]int     // jobs that were chosen and aren't judged yet
}

// lacking returns how many more jobs of a class have to be chosen.
func (f *floor) lacking(class sizeClass) int {
	all, served := 0.0, 0.0
	for k := range sizeClasses {
		all += f.judged[k]
		served += f.served[k]
	}
	if all == 0 {
		return 0
	}
	chosen := float64(f.chosen[class])
	return int(math.Ceil(floorMargin*floorShare*served/all*(f.judged[class]+chosen) - f.served[class] - chosen))
}

// choose chooses a job of a class, which must not be chosen yet.
func (f *floor) choose(j *job, class sizeClass) {
	f.chosen[class]++
	j.floored, j.flooredAs = true, class
}

// release undoes the choice of a job if it is chosen.
func (s *State) release(j *job) {
	if j.floored {
		j.floored = false
		s.floorOf(j.spec.Queue).chosen[j.flooredAs]--
	}
}

// floorsDecay lets the floors forget.
func (s *State) floorsDecay(now time.Time) {
	keep := math.Exp(-float64(now.Sub(s.floorsDecayed)) / float64(floorMemory))
	for _, f := range s.floors {
		for k := range sizeClasses {
			f.judged[k] *= keep
			f.served[k] *= keep
		}
	}
	s.floorsDecayed = now
}

// floorOf returns the floor of a queue and creates it if necessary.
func (s *State) floorOf(queue string) *floor {
	f := s.floors[queue]
	if f == nil {
		f = &floor{}
		s.floors[queue] = f
	}
	return f
}

// judge counts a job that has ended or missed its objective. It counts once.
func (s *State) judge(j *job, inTime bool) {
	s.release(j)
	if j.judged || j.size == 0 || j.unbounded {
		return
	}
	j.judged = true
	f, class := s.floorOf(j.spec.Queue), j.sizes.class(j.size)
	f.judged[class]++
	if inTime {
		f.served[class]++
	}
}

// judgeEnd counts a job that is done.
func (s *State) judgeEnd(j *job, now time.Time) {
	s.judge(j, now.Sub(j.spec.Sent) <= j.latencyObjective())
}

// raiseFloors chooses deferred large jobs that are to be in time in spite of their work, for queues that
// serve them too seldom: first those with the most time left. The next sweep leaves out others for them.
func (s *State) raiseFloors() {
	byQueue := make(map[string][]*candidate)
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.overloaded && !c.fixed && c.mark != markHopeless {
			byQueue[c.job.spec.Queue] = append(byQueue[c.job.spec.Queue], c)
		}
	}
	for queue, jobs := range byQueue {
		if slices.ContainsFunc(jobs, func(c *candidate) bool { return c.job.floored && c.job.unreserved }) {
			continue // More of them would only take from the others.
		}
		var deferred [sizeClasses][]*candidate
		for _, c := range jobs {
			if c.mark != unmarked && !c.job.floored && c.due >= 0 {
				class := c.sizes.class(c.job.size)
				deferred[class] = append(deferred[class], c)
			}
		}
		f := s.floorOf(queue)
		for class := largeSize; class < sizeClasses; class++ {
			n := f.lacking(class)
			if n <= 0 || len(deferred[class]) == 0 {
				continue
			}
			slices.SortFunc(deferred[class], func(a, b *candidate) int { return cmp.Or(cmp.Compare(b.due, a.due), compareSlacks(a, b)) })
			for _, c := range deferred[class][:min(n, len(deferred[class]))] {
				f.choose(c.job, class)
			}
		}
	}
}

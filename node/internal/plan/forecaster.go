package plan

import "time"

// forecaster holds what forecasts are made from. The zero value has measured nothing.
type forecaster struct {
	since    time.Time               // first forecast; zero before it
	last     *Forecast               // nil before the first one
	services map[string]*overload    // that the last sweep found, by service
	teams    map[string]*overload    // the same, by team
	rooms    map[string]*contention  // of core-seconds, by service
	limits   map[string]*contention  // the same, by team
	queues   map[string]*queueRecord // by queue
	checks   checks
	measured bool // the maps exist
}

// prepare makes the maps.
func (f *forecaster) prepare() {
	if !f.measured {
		f.rooms, f.limits, f.queues = make(map[string]*contention), make(map[string]*contention), make(map[string]*queueRecord)
		f.measured = true
	}
}

func (f *forecaster) room(service string) *contention {
	f.prepare()
	r := f.rooms[service]
	if r == nil {
		r = &contention{}
		f.rooms[service] = r
	}
	return r
}

func (f *forecaster) limit(team string) *contention {
	f.prepare()
	l := f.limits[team]
	if l == nil {
		l = &contention{}
		f.limits[team] = l
	}
	return l
}

func (f *forecaster) queue(name string) *queueRecord {
	f.prepare()
	q := f.queues[name]
	if q == nil {
		q = &queueRecord{margins: [2]float64{defaultMargin, defaultMargin}}
		f.queues[name] = q
	}
	return q
}

// noteArrival notes a new job, and what was forecast for it.
func (s *State) noteArrival(j *job, now time.Time) {
	if j.objective() == 0 {
		return
	}
	f, work := &s.forecaster, workOf(j.spec)
	rank := j.queue.Priority
	if j.overQuota {
		rank += overQuotaRankPenalty
	}
	f.room(j.queue.Service).arrive(rank, work, now)
	if s.limit(j.team, j.spec).CPU > 0 {
		f.limit(j.spec.Team).arrive(rank, work, now)
	}
	q := f.queue(j.spec.Queue)
	q.typical[workClass(work)].learn(j, work)
	q.arrived[j.quotaMark()].add(now, 1)
	if f.last == nil || f.last.Unknown {
		return
	}
	d, worthless := f.last.Wait(j.spec, j.overQuota), lateFactor*j.objective()
	if _, wait := d.Longest(); wait > 0 && wait+f.last.RunTime(j.spec) > worthless {
		f.checks.add(j.spec.ID, &q.margins[j.quotaMark()], now.Add(worthless))
	}
}

// quotaMark returns 1 if the job exceeds its team's quota, otherwise 0.
func (j *job) quotaMark() int {
	if j.overQuota {
		return 1
	}
	return 0
}

// noteStart notes that a task was ordered to start.
func (s *State) noteStart(st *stage, now time.Time) {
	j := st.occur.job
	if st.spec.Lasting {
		return
	}
	if first := st.waiting == len(st.tasks)-1; first && st.index == 0 {
		q := s.forecaster.queue(j.spec.Queue)
		q.started.add(now, 1)
		if objective := j.objective(); objective > 0 && !now.Add(st.remainingPath()).After(j.spec.Sent.Add(lateFactor*objective)) {
			q.valued[j.quotaMark()].add(now, 1)
		}
	}
}

// noteQueueRunTime learns how long runs of a queue take compared to their estimates. Runs that resumed
// from a checkpoint are shorter and don't count.
func (s *State) noteQueueRunTime(r *run, took time.Duration) {
	st := r.stage
	if st.spec.Lasting || st.spec.Filler || st.spec.Estimate <= 0 || r.restored || st.checkpoint(r.index) != "" {
		return
	}
	q := s.forecaster.queue(st.occur.job.spec.Queue)
	ratio := min(float64(took)/float64(st.spec.Estimate), 4) // A run on a frozen executor says little.
	weight := max(runTimeSmoothing, 1/float64(q.runs+1))
	q.deviation += weight * (max(ratio-q.ratio, q.ratio-ratio) - q.deviation)
	q.ratio += weight * (ratio - q.ratio)
	q.runs++
}

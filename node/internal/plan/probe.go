package plan

import "github.com/balsamford/balsamford/coord/model"

// probe is a job that doesn't exist, in a forecast.
type probe struct {
	*candidate
	size int
	need float64 // CPU of its largest task, in thousandths of a core
}

// probes returns the jobs to forecast.
func (s *State) probes() []probe {
	var out []probe
	for name, q := range s.config.Queues {
		record, sizes := s.forecaster.queues[name], s.jobSizes[name]
		if record == nil || sizes == nil || sizes.mean() == 0 {
			continue
		}
		for size := range record.typical {
			t := &record.typical[size]
			if !t.known || t.work <= 0 {
				continue
			}
			for over := range 2 {
				j := &job{spec: &model.Job{Queue: name}, queue: q, criticalPath: t.path, overQuota: over == 1, sizes: sizes, size: t.work}
				j.queue.Name = name
				c := &candidate{job: j, sizes: sizes, priority: q.Priority, rank: q.Priority + over*overQuotaRankPenalty, work: t.work * sizes.ratio}
				c.value = baseValue + (1-baseValue)*t.work/sizes.mean()
				c.slack = j.latencyObjective() - seconds(t.path.Seconds()*sizes.ratio)
				c.due = c.slack
				out = append(out, probe{candidate: c, size: size, need: t.need})
			}
		}
	}
	return out
}

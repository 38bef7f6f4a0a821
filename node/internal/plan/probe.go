package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// probe is a job that doesn't exist, in a forecast.
type probe struct {
	queue   model.Queue
	size    int
	over    int // 1 if beyond the quota
	stage   *stage
	urgency urgency // at the time of the forecast
	typical *typicalJob
}

// demand returns the probe as a demand that takes nothing from others. own is its work.
func (p *probe) demand(own float64) *demand {
	return &demand{stage: p.stage, first: p.urgency, probe: true, work: own}
}

// probes returns the jobs to forecast.
func (s *State) probes(now time.Time) []probe {
	var out []probe
	for name, q := range s.config.Queues {
		record := s.forecaster.queues[name]
		if record == nil {
			continue
		}
		for size := range record.typical {
			t := &record.typical[size]
			if !t.known {
				continue
			}
			for over := range 2 {
				spec := &model.Job{Queue: name, Steps: []model.Step{{Count: 1, Estimate: t.path}}, Sent: now}
				j := &job{spec: spec, queue: q, criticalPath: t.path, overQuota: over == 1}
				j.queue.Name = name
				st := &stage{occur: &occurrence{job: j}, spec: &spec.Steps[0], waiting: 1, path: max(t.path, 1)}
				out = append(out, probe{queue: j.queue, size: size, over: over, stage: st, urgency: st.urgency(now), typical: t})
			}
		}
	}
	return out
}

package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// The load: work of a service or of a team at its limit is deferred, and more comes that would be deferred too
// and would end worthless. A forecast applies the rule of overload.go to jobs that don't exist, one for each
// queue, size and mark of the quota, against what the last sweep kept.

// noteScarcity notes where the last sweep found more work than capacity.
func (s *State) noteScarcity(now time.Time) {
	f := &s.forecaster
	for service := range f.services {
		f.room(service)
	}
	for team := range f.teams {
		f.limit(team)
	}
	for service, r := range f.rooms {
		r.observe(f.services[service] != nil, now)
	}
	for team, l := range f.limits {
		l.observe(f.teams[team] != nil, now)
	}
}

// scarce reports whether work has waited for anything for long.
func (f *forecaster) scarce(now time.Time) bool {
	for _, r := range f.rooms {
		if r.lacking(now) {
			return true
		}
	}
	for _, l := range f.limits {
		if l.lacking(now) {
			return true
		}
	}
	return false
}

// fillForecast makes a forecast.
func (s *State) fillForecast(out *Forecast, now time.Time) {
	f := &s.forecaster
	if s.config == nil || !f.scarce(now) {
		return
	}
	probes := s.probes()
	out.Queues = make(map[string]*QueueForecast)
	for _, p := range probes {
		if name := p.job.queue.Name; out.Queues[name] == nil {
			record := f.queues[name]
			out.Queues[name] = &QueueForecast{Margins: [2]float64{record.margin(0, now), record.margin(1, now)}, RunTime: record.leastRunTime(), Pace: record.started.rate(now, flowBuckets*flowBucket)}
		}
		if p.sizes.boundsKnown {
			out.Queues[p.job.queue.Name].Large = p.sizes.large
		}
		out.Queues[p.job.queue.Name].Work[p.size] = p.job.size
	}
	s.forecastQuotas(out, now)
	out.Limits = make(map[string][]LimitForecast)
	for team, o := range f.teams {
		k := o.leavings()
		pace := f.limit(team).paces(o.rate, now)
		waits := make(map[string]*[2]Waits)
		for _, p := range probes {
			if ms := k.wait(p.candidate, certainLimit, 1, pace).Milliseconds(); ms > 0 && p.need >= fittingShare*k.need {
				if waits[p.job.queue.Name] == nil {
					waits[p.job.queue.Name] = &[2]Waits{}
				}
				waits[p.job.queue.Name][p.job.quotaMark()][p.size] = ms
			}
		}
		for name, w := range waits {
			out.Limits[team] = append(out.Limits[team], LimitForecast{Queue: name, Waits: *w})
		}
	}
	s.forecastRoom(out, probes, now)
}

// forecastQuotas sets what is left of the teams' quotas.
func (s *State) forecastQuotas(out *Forecast, now time.Time) {
	out.Teams = make(map[string]*TeamForecast)
	for name, c := range s.config.Teams {
		t := s.teams[name]
		if t == nil || c.Weight <= 0 || t.refilledAt.IsZero() {
			continue
		}
		burst := c.Weight*s.quotaWindow.Seconds() + float64(s.quotaSlack)
		left := min(burst, t.tokens+c.Weight*max(0, now.Sub(t.refilledAt).Seconds()))
		out.Teams[name] = &TeamForecast{Jobs: left, Rate: c.Weight}
	}
}

// fittingShare is the share of the mean need of waiting tasks below which a job's tasks may fit between them.
const fittingShare = 0.9

// forecastRoom sets the waits for executors.
func (s *State) forecastRoom(out *Forecast, probes []probe, now time.Time) {
	f := &s.forecaster
	out.Services = make(map[string]model.Amount)
	for service, o := range f.services {
		free := model.Amount{}
		for _, e := range s.executors {
			if e.info.Service == service && s.schedulable(e, now) {
				left := e.free()
				free = model.Amount{CPU: max(free.CPU, left.CPU), Memory: max(free.Memory, left.Memory), Accel: max(free.Accel, left.Accel)}
			}
		}
		out.Services[service] = free
		if o.rate == 0 {
			continue // Nothing can be said about executors that will come.
		}
		k := o.leavings()
		pace := f.room(service).paces(o.rate, now)
		for _, p := range probes {
			if p.job.queue.Service == service && p.need >= fittingShare*k.need {
				out.Queues[p.job.queue.Name].Room[p.job.quotaMark()][p.size] = k.wait(p.candidate, certainRoom, roomSurplus, pace).Milliseconds()
			}
		}
	}
}

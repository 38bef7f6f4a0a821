package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// A forecast goes over the waiting stages as the plan serves them, three times: under the teams'
// limits, at the adviser and on the executors. Each stage takes the next supply when it has passed the
// one before, so that work that can't use executors yet doesn't hold back work behind it. Jobs that
// don't exist, one for each queue, size and mark of the quota, are put into the same order; when they
// are served is what new jobs have to expect.

// noteScarcity notes what the waiting stages wait for.
func (s *State) noteScarcity(now time.Time) {
	f := &s.forecaster
	f.prepare()
	full, limited, advised := make(map[string]bool), make(map[string]bool), [2]bool{}
	for _, w := range f.waiting {
		st := w.stage
		if st.waiting == 0 || st.lastBlocked.IsZero() {
			continue
		}
		j := st.occur.job
		switch {
		case st.blockCause == blockedByLimit:
			limited[j.spec.Team] = true
		case s.advised(j, now) && (!st.advice.requestedAt.IsZero() || !s.adviceSlotFree(adviceClass(&j.queue) == 1, now)):
			advised[adviceClass(&j.queue)] = true
		default:
			full[j.queue.Service] = true
		}
	}
	for service := range full {
		f.room(service)
	}
	for service, r := range f.rooms {
		r.observe(full[service], now)
	}
	for team := range limited {
		f.limit(team)
	}
	for team, l := range f.limits {
		for i := range l {
			l[i].observe(limited[team], now)
		}
	}
	for i := range f.advice {
		f.advice[i].observe(advised[i], now)
	}
}

// fillForecast makes a forecast.
func (s *State) fillForecast(out *Forecast, now time.Time) {
	f := &s.forecaster
	if s.config == nil || !f.scarce(now) {
		return
	}
	all, demands := make([]*demand, 0, len(f.waiting)), make([]demand, len(f.waiting))
	for i, w := range f.waiting {
		if w.stage.waiting > 0 && !w.stage.occur.job.phase.Final() {
			demands[i].stage, demands[i].first = w.stage, w.urgency
			all = append(all, &demands[i])
		}
	}
	probes := s.probes(now)
	out.Queues = make(map[string]*QueueForecast)
	for _, p := range probes {
		if out.Queues[p.queue.Name] == nil {
			record := f.queues[p.queue.Name]
			out.Queues[p.queue.Name] = &QueueForecast{Margins: [2]float64{record.margin(0, now), record.margin(1, now)}, RunTime: record.leastRunTime(), Pace: record.started.rate(now, flowBuckets*flowBucket)}
		}
	}
	s.forecastQuotas(out, now)
	s.forecastLimits(out, all, probes, now)
	s.forecastAdvice(out, all, probes, now)
	s.forecastRoom(out, all, probes, now)
}

// scarce reports whether work has waited for anything for long.
func (f *forecaster) scarce(now time.Time) bool {
	for _, r := range f.rooms {
		if r.lacking(now) {
			return true
		}
	}
	for _, l := range f.limits {
		if l[0].lacking(now) {
			return true
		}
	}
	return f.advice[0].lacking(now) || f.advice[1].lacking(now)
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

// forecastAdvice sets the waits for the adviser: for a slot, without the request itself.
func (s *State) forecastAdvice(out *Forecast, all []*demand, probes []probe, now time.Time) {
	for class := range s.forecaster.advice {
		slots := &s.forecaster.advice[class]
		if slots.scarce.IsZero() {
			continue
		}
		var asked []*demand
		for _, d := range all {
			j := d.stage.occur.job
			if !s.advised(j, now) || adviceClass(&j.queue) != class {
				continue
			}
			d.work = requestTime(&j.queue).Seconds()
			if !d.stage.advice.requestedAt.IsZero() || len(d.stage.advice.tickets) > 0 {
				d.work = 0 // A request is pending or answered.
			}
			asked = append(asked, d)
		}
		waiting := len(asked)
		for _, p := range probes {
			if p.queue.Advised && adviceClass(&p.queue) == class {
				asked = append(asked, p.demand(0))
			}
		}
		serve(now, asked, false, certainRoom, slots.paces(float64(max(1, s.adviceSlots)), now))
		at := waiting
		for _, p := range probes {
			if p.queue.Advised && adviceClass(&p.queue) == class {
				out.Queues[p.queue.Name].Advice[p.over][p.size] = seconds(asked[at].start).Milliseconds()
				at++
			}
		}
		for _, d := range asked[:waiting] {
			d.release = max(d.release, d.end)
		}
	}
}

// fittingShare is the share of the mean need of waiting tasks below which a job's tasks may fit between them.
const fittingShare = 0.9

// forecastRoom sets the waits for executors.
func (s *State) forecastRoom(out *Forecast, all []*demand, probes []probe, now time.Time) {
	out.Services = make(map[string]model.Amount)
	for service, room := range s.forecaster.rooms {
		if room.scarce.IsZero() {
			continue
		}
		cores, free := 0.0, model.Amount{}
		for _, e := range s.executors {
			if e.info.Service != service || !s.schedulable(e, now) {
				continue
			}
			cores += float64(e.info.Room.CPU) / 1000
			left := e.free()
			free = model.Amount{CPU: max(free.CPU, left.CPU), Memory: max(free.Memory, left.Memory), Accel: max(free.Accel, left.Accel)}
		}
		out.Services[service] = free
		if cores == 0 {
			continue // Nothing can be said about executors that will come.
		}
		var asked []*demand
		needs, tasks := 0.0, 0.0
		for _, d := range all {
			if j := d.stage.occur.job; j.queue.Service == service {
				d.work = coreSeconds(d.stage.spec) * float64(d.stage.waiting)
				needs += float64(d.stage.spec.Room().CPU) * float64(d.stage.waiting)
				tasks += float64(d.stage.waiting)
				asked = append(asked, d)
			}
		}
		waiting := len(asked)
		for _, p := range probes {
			if p.queue.Service == service {
				asked = append(asked, p.demand(p.typical.work))
			}
		}
		serve(now, asked, true, certainRoom, room.paces(cores, now))
		at := waiting
		for _, p := range probes {
			if p.queue.Service == service {
				if p.typical.need >= fittingShare*needs/max(1, tasks) {
					out.Queues[p.queue.Name].Room[p.over][p.size] = seconds(asked[at].start).Milliseconds()
				}
				at++
			}
		}
	}
}

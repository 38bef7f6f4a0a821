package plan

import "time"

// forecastLimits sets the waits for teams' limits. Work gets to the adviser and the executors when it has
// passed its team's limit.
func (s *State) forecastLimits(out *Forecast, all []*demand, probes []probe, now time.Time) {
	byTeam := make(map[string][]*demand)
	for _, d := range all {
		team := d.stage.occur.job.spec.Team
		if l := s.forecaster.limits[team]; l != nil && !l[0].scarce.IsZero() {
			byTeam[team] = append(byTeam[team], d)
		}
	}
	for team, demands := range byTeam {
		kind, nominal := s.bindingLimit(team, demands)
		if nominal <= 0 {
			continue
		}
		for _, d := range demands {
			d.work = float64(resources(stepSeconds(d.stage.spec, d.stage.waiting))[kind])
		}
		asked := demands[:len(demands):len(demands)]
		for _, p := range probes {
			asked = append(asked, p.demand(p.typical.taken[kind]))
		}
		serve(now, asked, false, certainLimit, s.forecaster.limits[team][kind].paces(nominal*1000, now)) // Needs are in milliseconds.
		waits := make(map[string]*[2]Waits)
		for i, d := range asked[len(demands):] {
			p := &probes[i]
			if waits[p.queue.Name] == nil {
				waits[p.queue.Name] = &[2]Waits{}
			}
			waits[p.queue.Name][p.over][p.size] = seconds(d.start).Milliseconds()
		}
		if out.Limits == nil {
			out.Limits = make(map[string][]LimitForecast)
		}
		for name, w := range waits {
			if *w != ([2]Waits{}) {
				out.Limits[team] = append(out.Limits[team], LimitForecast{Queue: name, Waits: *w})
			}
		}
		for _, d := range demands {
			d.release = d.start
		}
	}
}

// bindingLimit returns the resource of which a team's waiting work takes the largest part of its limit, and
// the limit.
func (s *State) bindingLimit(team string, demands []*demand) (kind int, limit float64) {
	var wanted [3]int64
	for _, d := range demands {
		for i, n := range resources(d.stage.spec.Need) {
			wanted[i] += n * int64(d.stage.waiting)
		}
	}
	t := s.team(team)
	used := resources(t.used)
	share := 0.0
	for i, most := range resources(s.limit(t, demands[0].stage.occur.job.spec)) {
		if most <= 0 {
			continue
		}
		if x := float64(used[i]+wanted[i]) / float64(most); x > share {
			share, kind, limit = x, i, float64(most)
		}
	}
	return kind, limit
}

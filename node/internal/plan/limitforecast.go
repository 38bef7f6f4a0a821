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
		over := 0
		if out.Left(team, 0, 1) < 1 {
			over = 1
		}
		asked := demands[:len(demands):len(demands)]
		var probed []*demand
		var origins []probe
		for _, p := range probes {
			if p.over == over {
				d := &demand{stage: p.stage, probe: true}
				probed, origins, asked = append(probed, d), append(origins, p), append(asked, d)
			}
		}
		serve(now, asked, false, s.forecaster.limits[team][kind].paces(nominal*1000, now)) // Needs are in milliseconds.
		waits := make(map[string]*Waits)
		for i, d := range probed {
			name := origins[i].queue.Name
			if waits[name] == nil {
				waits[name] = &Waits{}
			}
			waits[name][origins[i].size] = seconds(d.start).Milliseconds()
		}
		if out.Limits == nil {
			out.Limits = make(map[string][]LimitForecast)
		}
		for name, w := range waits {
			if *w != (Waits{}) {
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
	used := resources(s.team(team).used)
	share := 0.0
	for i, most := range resources(s.limit(demands[0].stage.occur.job.spec)) {
		if most <= 0 {
			continue
		}
		if x := float64(used[i]+wanted[i]) / float64(most); x > share {
			share, kind, limit = x, i, float64(most)
		}
	}
	return kind, limit
}

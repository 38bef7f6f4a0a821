package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// team holds an organisation's resource usage, its demand for urgent work and the
// token bucket of its submission quota.
type team struct {
	used        model.Amount // needs of all runs that may exist
	urgentCPU   int64        // part of used.CPU that urgent work takes
	urgentPeak  int64        // CPU that urgent work had or wanted at peakedAt
	peakedAt    time.Time
	tokens      float64   // jobs that it may submit within its quota
	refilledAt  time.Time // when tokens were last added
	lastingCPU  int64     // part of used.CPU that lasting tasks take
	throughput  throughput
	reservedFor *stage // one of its tasks is to fit under the limit first, or nil
	terms       teamTerms
}

// limit returns what the running tasks of a job's team t may take. Under a configuration without
// the team it is the limit under which the job was accepted.
func (s *State) limit(t *team, spec *model.Job) model.Amount {
	if s.config != t.terms.config {
		t.terms = teamTerms{config: s.config}
		if s.config != nil {
			configured, ok := s.config.Teams[spec.Team]
			t.terms.known, t.terms.limit = ok, configured.Limit
		}
	}
	if t.terms.known {
		return t.terms.limit
	}
	if spec.Terms != nil {
		return spec.Terms.Limit
	}
	return model.Amount{}
}

// headroom returns how many tasks with the given need fit under limit, at most n. A
// limit of 0 is no limit.
func (t *team) headroom(need, limit model.Amount, n int) int {
	for _, r := range [...]struct{ used, need, limit int64 }{
		{t.used.CPU, need.CPU, limit.CPU}, {t.used.Memory, need.Memory, limit.Memory}, {t.used.Accel, need.Accel, limit.Accel},
	} {
		if r.limit > 0 && r.need > 0 {
			n = min(n, int(max(0, r.limit-r.used)/r.need))
		}
	}
	return n
}

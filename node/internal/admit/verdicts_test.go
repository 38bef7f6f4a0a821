package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// A forecast that looks only at the length of the backlog rejects short jobs that would start at once, and
// one without a margin rejects jobs that end in time. Here all jobs are accepted, whatever the verdict, so
// that it can be compared with what the plan then does.
func TestVerdictsAgreeWithThePlan(t *testing.T) {
	tests := map[string]struct {
		load  float64
		limit model.Amount
		slots int // of the adviser, which the long jobs need; 0 for none
	}{
		"usual load near capacity":     {load: 1},
		"burst fills the executors":    {load: 1.1},
		"backlog outlasts the burst":   {load: 1.2},
		"limit of the team":            {load: 0.9, limit: model.Amount{CPU: 100_000}},
		"adviser":                      {load: 0.9, slots: 3},
		"adviser, more load":           {load: 1.1, slots: 4},
		"limit of the team, more load": {load: 1.1, limit: model.Amount{CPU: 110_000}},
	}
	rejected, wrong, worthless, excess, found := 0, 0, 0, 0, 0
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var all, within, others, beyond outcome
			for seed := range uint64(9) {
				r := newReplay(seed, false, tt.limit, tt.slots)
				r.load = tt.load
				r.run(100*time.Second, r.burst)
				for sum, match := range map[*outcome]func(s *sent) bool{
					&all: func(*sent) bool { return true }, &within: func(s *sent) bool { return s.kind.queue == "short" && !s.verdict.Beyond }, &others: func(s *sent) bool { return s.job.Team != "a" }, &beyond: func(s *sent) bool { return s.kind.tasks > 1 && s.verdict.Beyond },
				} {
					o := r.outcomes(match)
					sum.jobs, sum.rejected, sum.wrong, sum.worthless = sum.jobs+o.jobs, sum.rejected+o.rejected, sum.wrong+o.wrong, sum.worthless+o.worthless
				}
			}
			t.Logf("all %+v, short within the quota %+v, other teams %+v", all, within, others)
			rejected, wrong, worthless = rejected+all.rejected, wrong+all.wrong, worthless+all.worthless
			if tt.limit.CPU > 0 {
				excess, found = excess+beyond.worthless, found+beyond.rejected-beyond.wrong
			}
			is.True(all.wrong*200 <= all.jobs)         // few jobs are rejected though they would have value
			is.Equal(within.rejected, 0)               // they start at once
			is.True(others.rejected*50 <= others.jobs) // they don't pay for the burst of another team
		})
	}
	is := is.New(t)
	t.Logf("%d rejected, %d of them wrongly, of %d worthless; of %d long excess jobs under a limit that end worthless %d are rejected", rejected, wrong, worthless, excess, found)
	is.True(rejected >= 200)         // there is something to judge
	is.True(wrong*100 <= 3*rejected) // 97 of 100 rejections are right
	is.True(found*2 >= excess)       // the case that is the easiest to foresee is found
}

// Rejections must not starve a queue, team or size, nor cost more than they save. Here they are carried out.
func TestRejectionsStarveNobody(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(3) {
		without, with := newReplay(seed, false, model.Amount{}, 0), newReplay(seed, true, model.Amount{}, 0)
		for _, r := range []*replay{without, with} {
			r.load = 1.2 + 0.1*float64(seed)
			r.run(100*time.Second, r.burst)
		}
		t.Logf("value %.0f with and %.0f without rejections; most tasks waiting %d and %d", with.value(), without.value(), with.most, without.most)
		is.True(with.value() >= 0.995*without.value())
		is.True(with.most < without.most) // rejections take work away that would have ended worthless
		for _, k := range []kind{short, long, larger} {
			for _, team := range teams {
				for from := time.Duration(0); from < 60*time.Second; from += 10 * time.Second {
					o := with.outcomes(func(s *sent) bool {
						at := s.at.Sub(start)
						return s.kind.tasks == k.tasks && s.job.Team == team && at >= from && at < from+10*time.Second
					})
					is.True(o.jobs < 10 || o.rejected*10 <= o.jobs*9)
				}
			}
		}
	}
}

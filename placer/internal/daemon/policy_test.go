package daemon

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// TestFloodDelaysOthersLittle submits requests of one team at more than twice
// the rate that the executor can run, and requests of another team at a
// twentieth of that rate, under the policy of a configuration. With the aim
// "wait" the other team's requests wait too, but not until their deadline.
func TestFloodDelaysOthersLittle(t *testing.T) {
	const step, slots, runs, patience = 5 * time.Millisecond, 32, 40, time.Second // runs is a run time in steps
	tests := map[config.Aim]time.Duration{                                        // maximum of the other team's mean wait
		config.AimWait:  500 * time.Millisecond,
		config.AimShare: 100 * time.Millisecond,
	}
	for aim, most := range tests {
		t.Run(string(aim), func(t *testing.T) {
			set := config.NewSet()
			for team, weight := range map[string]float64{"flood": 4, "other": 1} {
				set.Put(&config.Team{Name: team})
				set.Put(&config.Share{Name: team, Team: team, Weight: weight})
			}
			set.Put(&config.Policy{Name: "p", Aim: aim})
			set.Put(&config.Queue{Name: "q", Kinds: []wire.Kind{wire.Quick}, Policy: "p"})
			clock := timer.New(timer.WithManual(time.Unix(0, 0)))
			s := sched.New(sched.WithTimer(clock), sched.WithPolicy(policyOf(config.NewSnapshot(1, set))))
			s.Join(sched.Endpoint{Name: "e", Kind: point.Executor, Capacity: wire.Needs{Slots: slots}})
			asked, ends := make(map[string]time.Time), make(map[int][]string)
			submit := func(team string, n int) {
				id := team + strconv.Itoa(n)
				asked[id] = clock.Now()
				is.New(t).NoErr(s.Submit(sched.Item{ID: id, Team: team, Queue: "q", Kind: wire.Quick, Needs: wire.Needs{Slots: 1}, Deadline: clock.Now().Add(patience)}))
			}
			wait, started, late := time.Duration(0), 0, 0
			for i := range 2000 {
				for _, id := range ends[i] {
					s.Ended(id, 0, true)
				}
				submit("flood", 2*i)
				submit("flood", 2*i+1)
				if i%25 == 0 {
					submit("other", i)
				}
				for _, item := range s.Expire() {
					if item.Team == "other" {
						late++
					}
				}
				for _, d := range s.Decide() {
					s.Started(d.ID, d.Task)
					ends[i+runs] = append(ends[i+runs], d.ID)
					if d.ID[0] == 'o' {
						wait, started = wait+clock.Now().Sub(asked[d.ID]), started+1
					}
				}
				clock.Advance(step)
			}
			if mean := wait / time.Duration(max(started, 1)); mean > most || late > 0 {
				t.Errorf("%d started after a mean wait of %v, %d expired", started, mean, late)
			}
		})
	}
}

package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/timer"
)

func TestRefusalsExpire(t *testing.T) {
	refused := Class{Team: "red", Queue: "checks"}
	for name, c := range map[string]struct {
		class  Class
		budget time.Duration // of the next request
		after  time.Duration // the refusal
		late   bool
	}{
		"as much time":       {refused, time.Second, 0, true},
		"less time":          {refused, 100 * time.Millisecond, 49 * time.Millisecond, true},
		"more time":          {refused, 1100 * time.Millisecond, 0, false},
		"a while later":      {refused, time.Second, 50 * time.Millisecond, false},
		"another team":       {Class{Team: "blue", Queue: "checks"}, time.Second, 0, false},
		"urgent":             {Class{Team: "red", Queue: "checks", Urgent: true}, time.Second, 0, false},
		"refused once only":  {Class{Team: "red", Queue: "once"}, time.Second, 0, false},
		"short, refused too": {Class{Team: "red", Queue: "short"}, 200 * time.Millisecond, 9 * time.Millisecond, true},
		"short, later":       {Class{Team: "red", Queue: "short"}, 200 * time.Millisecond, 10 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Unix(0, 0)))
			s := NewRefusals(clock, metrics.NewRegistry())
			s.Add(Class{Team: "red", Queue: "once"}, time.Second)
			for range minRefusals {
				s.Add(refused, time.Second)
				s.Add(refused, 300*time.Millisecond) // A smaller budget changes nothing.
				s.Add(Class{Team: "red", Queue: "short"}, 200*time.Millisecond)
			}
			clock.Advance(c.after)
			is.Equal(s.WouldRefuse(c.class, clock.Now().Add(c.budget)), c.late)
		})
	}
}

package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// A published CPU limit applies to the sum of two placers. It can be used up
// completely, and a job that can never run under it is refused.
func TestPlacersKeepToProcessors(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 2)
	z.addWorkers(6)
	_, err := config.NewPublisher(z.memory, z.timer, zap.NewNop()).Publish(z.ctx, &config.Edit{
		ID: audit.NewID(z.timer.Now()), Base: config.AnyVersion, Action: audit.Set,
		Put: []config.Object{&config.Team{Name: "t"}, &config.Limit{Name: "t", Team: "t", CPU: new(int64(6000))}},
	})
	is.NoErr(err)
	a, b := z.start(0), z.start(1)
	z.eventually("the endpoints are owned", z.owned(6))
	for _, p := range z.placers {
		z.eventually("the limit is known", func() bool {
			_, _, over := p.limits.Exceeded("t", parts.Amount{parts.CPU: 6001})
			return over
		})
	}
	never := jobRequest("a.never", wire.Gang, 7, engine.Body{})
	z.writeJob(never)
	is.Equal(z.sendRequest(a, never).final.Reason, wire.ReasonNever)
	z.submitJob(a, jobRequest("a.one", wire.Service, 4, engine.Body{}))
	z.submitJob(b, jobRequest("a.two", wire.Service, 4, engine.Body{}))
	z.eventually("the limit is used up", func() bool { return z.runningTasks() >= 6 })
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		is.True(z.runningTasks() <= 6)
	}
}

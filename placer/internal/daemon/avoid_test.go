package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// A task that failed at the only endpoint of the zone must run there again after
// a while, since the endpoint may have recovered.
func TestOnlyEndpointIsNotAvoidedForever(t *testing.T) {
	for _, kind := range []wire.Kind{wire.Batch, wire.Gang, wire.Service} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			z := newZone(t, 1)
			e := z.addEndpoint("w0", "worker", "r0", cores(8))
			p := z.start(0)
			z.eventually("the endpoint is owned", z.owned(1))
			e.SetFaults(engine.Faults{Fail: true})
			body := engine.Body{Work: setup.Duration(10 * time.Millisecond)}
			if kind == wire.Service {
				body = engine.Body{}
			}
			req := jobRequest("a.job", kind, 1, body)
			z.submitJob(p, req)
			z.eventually("it has failed", func() bool { return z.count(engine.Ended, "a.job") == 1 })
			e.SetFaults(engine.Faults{})
			z.eventually("it runs again", func() bool { return z.count(engine.Began, "a.job") == 2 })
			if kind != wire.Service {
				z.eventually("it is done", func() bool { return z.jobRow("a.job").Outcome == wire.Done })
			}
			is.Equal(z.count(engine.Began, "a.job"), 2)
			z.checkLog()
		})
	}
}

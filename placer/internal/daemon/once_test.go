package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// When the task of a service ends by itself, it is restarted only if the service
// is idempotent.
func TestServiceIsRestartedOnlyIfIdempotent(t *testing.T) {
	tests := map[string]struct{ idempotent bool }{
		"idempotent": {idempotent: true},
		"once":       {idempotent: false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			z := newZone(t, 1)
			z.addWorkers(2)
			p := z.start(0)
			z.eventually("the endpoints are owned", z.owned(2))
			req := jobRequest("a.svc", wire.Service, 1, engine.Body{Work: setup.Duration(50 * time.Millisecond), Fail: true})
			req.Idempotent = tt.idempotent
			z.submitJob(p, req)
			if tt.idempotent {
				z.eventually("it is started again", func() bool { return z.count(engine.Began, "a.svc") > 1 })
				return
			}
			z.eventually("its end is written", func() bool { return z.jobRow("a.svc").Outcome == wire.Failed })
			is.Equal(z.count(engine.Began, "a.svc"), 1)
		})
	}
}

package jobs

import (
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/wire"
)

// Checks that the scheduler gets tasks of jobs that aren't idempotent as Once, since a
// preempted task that may run only once is lost.
func TestOnlyIdempotentTasksMayBePreempted(t *testing.T) {
	tests := map[string]struct {
		kind       wire.Kind
		idempotent bool
	}{
		"batch":                {kind: wire.Batch, idempotent: true},
		"batch that runs once": {kind: wire.Batch},
		"gang that runs once":  {kind: wire.Gang},
		"service":              {kind: wire.Service, idempotent: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := newJob("a/a.1", &wire.Job{Request: wire.Request{ID: "a.1", Kind: tt.kind, Tasks: 2, Idempotent: tt.idempotent}}, 1)
			is.Equal(j.itemLocked().Once, !tt.idempotent)
		})
	}
}

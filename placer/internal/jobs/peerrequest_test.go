package jobs

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// The tasks that another placer found when it opened an endpoint are sent without
// outputs. An ended one must stay live until its end arrives with the output.
func TestOpenedIgnoresEndedTasks(t *testing.T) {
	tests := map[string]struct {
		tasks []point.Task
		live  bool
		phase wire.Phase
	}{
		"ended":   {tasks: []point.Task{{ID: "a.1/0", Attempt: 1, State: point.Done}}, live: true, phase: wire.Sent},
		"running": {tasks: []point.Task{{ID: "a.1/0", Attempt: 1, State: point.Running}}, live: true, phase: wire.Running},
		"missing": {live: false, phase: wire.Ended},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := New("p", "a", Parts{Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
			row := &wire.Job{Request: wire.Request{ID: "a.1", Kind: wire.Batch, Tasks: 1},
				Tasks: []wire.JobTask{{Attempt: 1, Endpoint: "w", Epoch: 5, Phase: wire.Sent}}}
			j := newJob("a/a.1", row, 1)
			d.jobs["a.1"] = j
			d.handleOpened("w", 6, tt.tasks)
			is.Equal(j.tasks[0].live, tt.live)
			is.Equal(j.row.Tasks[0].Phase, tt.phase)
		})
	}
}

package daemon

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// TestOutputsSurviveOwnerChange covers tasks that end while their endpoint has
// no owner. The next owner first sends the driver, which is on another host, the
// endpoint's tasks without their outputs. The driver must not take these for
// complete results.
func TestOutputsSurviveOwnerChange(t *testing.T) {
	is := is.New(t)
	const tasks, size = 3, 1000
	z := newZone(t, 1)
	z.addEndpoint("w0", point.Worker, "r0", cores(32))
	p := z.start(0)
	z.eventually("the endpoint is owned", z.owned(1))
	req := jobRequest("a.out", wire.Batch, tasks, engine.Body{Work: setup.Duration(400 * time.Millisecond), Size: size, Seed: 3})
	z.submitJob(p, req)
	z.eventually("all tasks run", func() bool { return z.runningTasks() == tasks && z.jobRow("a.out").Phase == wire.Running })
	row := z.jobRow("a.out")
	opened := struct {
		Endpoint string       `cbor:"endpoint"`
		Epoch    uint64       `cbor:"epoch"`
		Opened   bool         `cbor:"opened"`
		Tasks    []point.Task `cbor:"tasks"`
	}{Endpoint: "w0", Epoch: row.Tasks[0].Epoch + 1, Opened: true}
	for i := range tasks {
		opened.Tasks = append(opened.Tasks, point.Task{ID: fmt.Sprintf("a.out/%d", i), Attempt: row.Tasks[i].Attempt,
			Kind: wire.Batch, State: point.Done})
	}
	var answer struct{}
	is.NoErr(z.caller.Call(z.ctx, p.settings.Link, wire.VerbNote, &opened, &answer))
	z.eventually("the job is done", func() bool { return z.jobRow("a.out").Outcome == wire.Done })
	for i, task := range z.jobRow("a.out").Tasks {
		want := engine.Answer(fmt.Sprintf("a.out/%d", i), 3, size)
		is.True(bytes.Equal(task.Output, want)) // the complete output of this task
	}
}

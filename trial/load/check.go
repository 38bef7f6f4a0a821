package load

import (
	"fmt"
	"strconv"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/trial/calls"
	"github.com/balsamford/balsamford/trial/judge"
)

// checkOutputs records in c whether the outputs of a job are complete and belong
// to it. Services are not checked, since their tasks are cancelled and have no
// output.
func checkOutputs(it *item, reply *calls.Reply, c *judge.Call) {
	c.Whole, c.Own = true, true
	if it.request.Kind == wire.Service || reply.Outcome != wire.Done {
		return
	}
	if len(reply.Tasks) != it.request.Tasks {
		c.Whole = false
		c.Detail = fmt.Sprintf("%d of %d tasks, status %d", len(reply.Tasks), it.request.Tasks, reply.Status)
		return
	}
	for i := range reply.Tasks {
		if checkBytes(it, i, reply.Tasks[i].Output, c); c.Detail != "" {
			return
		}
	}
}

// checkBytes records in c whether data has the requested length and is the
// answer of task n.
func checkBytes(it *item, n int, data []byte, c *judge.Call) {
	c.Whole = len(data) == it.request.Body.Size
	c.Own = it.request.Matches(strconv.Itoa(n), data)
	if !c.Own {
		c.Detail = fmt.Sprintf("task %d has %d of %d bytes", n, len(data), it.request.Body.Size)
	}
}

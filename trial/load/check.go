package load

import (
	"fmt"
	"strconv"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/trial/calls"
	"github.com/balsamford/balsamford/trial/judge"
)

// checkOutputs notes in c whether the outputs of a job are whole and its own.
// Tasks that were stopped, as those of a service are, have none.
func checkOutputs(it *item, reply *calls.Reply, c *judge.Call) {
	c.Whole, c.Own = true, true
	if it.form.Kind == wire.Service || reply.Outcome != wire.Done {
		return
	}
	if len(reply.Tasks) != it.form.Tasks {
		c.Whole = false
		c.Detail = fmt.Sprintf("%d of %d tasks, status %d", len(reply.Tasks), it.form.Tasks, reply.Status)
		return
	}
	for i := range reply.Tasks {
		if checkBytes(it, i, reply.Tasks[i].Output, c); c.Detail != "" {
			return
		}
	}
}

// checkBytes notes in c whether data is the answer of task n.
func checkBytes(it *item, n int, data []byte, c *judge.Call) {
	c.Whole = len(data) == it.form.Body.Size
	c.Own = it.form.Matches(strconv.Itoa(n), data)
	if !c.Own {
		c.Detail = fmt.Sprintf("task %d has %d of %d bytes", n, len(data), it.form.Body.Size)
	}
}

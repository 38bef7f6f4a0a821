package shell

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/balsamford/balsamford/balsam/internal/remote"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
)

// pathRequests is the path of the callers' API, which docs/API.md describes.
const pathRequests = "/v1/requests"

// submission is the body of a submit request, as docs/API.md describes it.
type submission struct {
	ID         string         `json:"id,omitempty"`
	Queue      string         `json:"queue"`
	Kind       wire.Kind      `json:"kind"`
	Name       string         `json:"name,omitempty"`
	Needs      wire.Needs     `json:"needs"`
	Tasks      int            `json:"tasks,omitempty"`
	Runtime    setup.Duration `json:"runtime,omitempty"`
	Deadline   setup.Duration `json:"deadline,omitempty"`
	Idempotent bool           `json:"idempotent,omitempty"`
	Urgent     bool           `json:"urgent,omitempty"`
	Wait       bool           `json:"wait"`
	Body       []byte         `json:"body,omitempty"`
}

// reply is the JSON response of the callers' API to any request whose response isn't
// the output of a task.
type reply struct {
	ID      string       `json:"id,omitempty"`
	Phase   wire.Phase   `json:"phase,omitempty"`
	Outcome wire.Outcome `json:"outcome,omitempty"`
	Reason  string       `json:"reason,omitempty"`
	Detail  string       `json:"detail,omitempty"`
}

// submitFlags holds the flags of the submit command.
type submitFlags struct {
	submission
	kind              string
	runtime, deadline time.Duration
	later             bool
	body              string
}

// addRequestCommands adds the commands of the callers' API.
func (a *app) addRequestCommands(p *flaggy.Parser) {
	f := &submitFlags{kind: string(wire.Quick)}
	sub := a.addCommand(p, "submit", "sends a request to the callers' door and prints its answer, or its id with --later",
		"  balsam submit --queue checks --cpu 100 --body - < check.json\n  balsam submit --queue plans --kind batch --tasks 8 --cpu 2000 --mem 1000000000",
		func(ctx context.Context) error { return a.submit(ctx, f) })
	sub.String(&f.Queue, "q", "queue", "queue to send it to")
	sub.String(&f.kind, "", "kind", "quick, service, batch or gang")
	sub.String(&f.ID, "i", "id", "the caller's own id; the same id never runs twice")
	sub.String(&f.Name, "n", "name", "job name, under which sizes are learnt")
	sub.Int64(&f.Needs.CPU, "", "cpu", "thousandths of a processor for each task")
	sub.Int64(&f.Needs.Mem, "", "mem", "bytes of memory for each task")
	sub.Int64(&f.Needs.Accel, "", "accel", "accelerators for each task")
	sub.Int64(&f.Needs.Slots, "", "slots", "executor slots for each task")
	sub.Int64(&f.Needs.Conns, "", "conns", "connections for each task")
	sub.Int(&f.Tasks, "", "tasks", "tasks of a service, batch or gang")
	sub.Duration(&f.runtime, "", "runtime", "expected run time of a task")
	sub.Duration(&f.deadline, "", "deadline", "time within which the answer is wanted")
	sub.Bool(&f.Idempotent, "", "idempotent", "it may run again if its first run is lost")
	sub.Bool(&f.Urgent, "u", "urgent", "start before other work")
	sub.Bool(&f.later, "l", "later", "print the id at once")
	sub.String(&f.body, "b", "body", "file with the task's input, or -")

	var id string
	sub = a.addCommand(p, "status", "prints where a request stands", "  balsam status ID",
		func(ctx context.Context) error { return a.requestCommand(ctx, http.MethodGet, id, "") })
	sub.AddPositionalValue(&id, "ID", 1, true, "id of a request")
	var ended string
	sub = a.addCommand(p, "result", "prints the recorded answer of a request, or the outputs of a job", "  balsam result ID",
		func(ctx context.Context) error { return a.requestCommand(ctx, http.MethodGet, ended, "/result") })
	sub.AddPositionalValue(&ended, "ID", 1, true, "id of a request")
	var cancelled string
	sub = a.addCommand(p, "cancel", "cancels a request", "  balsam cancel ID",
		func(ctx context.Context) error { return a.requestCommand(ctx, http.MethodDelete, cancelled, "") })
	sub.AddPositionalValue(&cancelled, "ID", 1, true, "id of a request")
}

func (a *app) submit(ctx context.Context, f *submitFlags) error {
	in := f.submission
	in.Kind, in.Wait = wire.Kind(f.kind), !f.later
	in.Runtime, in.Deadline = setup.Duration(f.runtime), setup.Duration(f.deadline)
	if in.Queue == "" || !in.Kind.Valid() {
		return &UsageError{Text: `a request needs --queue and a --kind out of quick, service, batch and gang`}
	}
	var err error
	if in.Body, err = a.readBody(f.body); err != nil {
		return err
	}
	client, err := a.settings.callerClient()
	if err != nil {
		return err
	}
	answer, err := client.Call(ctx, http.MethodPost, pathRequests, nil, in)
	return a.printReply(answer, err)
}

func (a *app) readBody(name string) ([]byte, error) {
	switch name {
	case "":
		return nil, nil
	case "-":
		return io.ReadAll(a.streams.In)
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &setup.FileError{Path: name, Err: err}
	}
	return data, nil
}

// requestCommand calls the API for the request id and prints the reply. subpath is
// appended to the request's path; it is empty for the request itself.
func (a *app) requestCommand(ctx context.Context, method, id, subpath string) error {
	client, err := a.settings.callerClient()
	if err != nil {
		return err
	}
	answer, err := client.Call(ctx, method, pathRequests+"/"+url.PathEscape(id)+subpath, nil, nil)
	return a.printReply(answer, err)
}

// printReply prints the response of the callers' API and returns an *ExitError for its
// outcome, or nil if the exit code is OK.
func (a *app) printReply(answer remote.Answer, err error) error {
	var refused *remote.StatusError
	if errors.As(err, &refused) {
		_, _ = fmt.Fprintln(a.streams.Out, refused.Body)
		return &ExitError{Code: outcomeCode([]byte(refused.Body), refused.Status)}
	}
	if err != nil {
		return err
	}
	_, _ = a.streams.Out.Write(answer.Body)
	if wire.Outcome(answer.Header.Outcome) == wire.Done {
		return nil
	}
	return exitError(outcomeCode(answer.Body, answer.Status))
}

func exitError(c Code) error {
	if c == OK {
		return nil
	}
	return &ExitError{Code: c}
}

// outcomeCode returns the exit code for a reply. The reason and the outcome in its body
// take precedence over the HTTP status.
func outcomeCode(body []byte, status int) Code {
	var r reply
	_ = json.Unmarshal(body, &r)
	switch {
	case r.Reason == wire.ReasonKey || r.Reason == wire.ReasonQueue:
		return Refused
	case r.Outcome == wire.NotRun:
		return NotRun
	case r.Outcome == wire.Failed:
		return Failed
	case r.Outcome == wire.Unknown:
		return Unknown
	case status == http.StatusNotFound || status == http.StatusGone:
		return Missing
	case status >= http.StatusInternalServerError:
		return Unavailable
	case status >= http.StatusBadRequest:
		return Usage
	}
	return OK
}

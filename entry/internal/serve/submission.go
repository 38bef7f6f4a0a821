package serve

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
)

const (
	// maxTasks is the largest number of tasks of one request.
	maxTasks = 100_000
	// maxNameBytes is the largest length of a request's or a queue's name.
	maxNameBytes = 128
)

// form is the JSON body of a request to POST /v1/requests.
type form struct {
	ID         string          `json:"id"`
	Queue      string          `json:"queue"`
	Kind       wire.Kind       `json:"kind"`
	Name       string          `json:"name"`
	Needs      wire.Needs      `json:"needs"`
	Tasks      int             `json:"tasks"`
	Runtime    setup.Duration  `json:"runtime"`
	Deadline   setup.Duration  `json:"deadline"`
	Idempotent bool            `json:"idempotent"`
	Urgent     bool            `json:"urgent"`
	Wait       *bool           `json:"wait"`
	Cancel     bool            `json:"cancel"`
	Body       json.RawMessage `json:"body"`
}

// submission is an accepted request with its key and options, as it is
// forwarded to the entry process that holds the request's record.
type submission struct {
	Key     string       `cbor:"key,omitempty"`
	Request wire.Request `cbor:"request"` // Budget is the time left until the deadline
	Cancel  bool         `cbor:"cancel,omitempty"`
	Wait    bool         `cbor:"wait,omitempty"`
	Hops    int          `cbor:"hops,omitempty"`  // number of forwards so far
	InDoubt bool         `cbor:"doubt,omitempty"` // an earlier run may still be running

	freshID  bool // the id was issued for this submission, so no other process has seen it
	deadline time.Time
}

// parseForm decodes and validates the body of a submission. The error is an
// *InputError.
func parseForm(data []byte) (*form, error) {
	var f form
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, &InputError{Text: "the body is not the JSON of a request: " + err.Error()}
	}
	if text := f.validate(); text != "" {
		return nil, &InputError{Text: text}
	}
	if f.Tasks == 0 {
		f.Tasks = 1
	}
	return &f, nil
}

// validate describes the first invalid field of the form, or returns an empty
// string.
func (f *form) validate() string {
	switch {
	case !f.Kind.Valid():
		return `kind has to be "quick", "service", "batch" or "gang"`
	case f.Queue == "" || len(f.Queue) > maxNameBytes:
		return "queue is missing or too long"
	case len(f.Name) > maxNameBytes:
		return "name is longer than " + strconv.Itoa(maxNameBytes) + " bytes"
	case f.Tasks < 0 || f.Tasks > maxTasks:
		return "tasks has to be between 1 and " + strconv.Itoa(maxTasks)
	case f.Kind == wire.Quick && f.Tasks > 1:
		return "a quick request has one task"
	case f.Deadline < 0 || f.Runtime < 0:
		return "deadline and runtime can't be below 0"
	case f.Needs.Negative():
		return "needs can't be below 0"
	}
	return ""
}

// payload returns the task's input: the decoded bytes if the body is a base64
// string, and the JSON value unchanged otherwise.
func (f *form) payload() ([]byte, error) {
	if len(f.Body) == 0 || f.Body[0] != '"' {
		return f.Body, nil
	}
	var text string
	if err := json.Unmarshal(f.Body, &text); err != nil {
		return nil, &InputError{Text: "body is no JSON text"}
	}
	out, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, &InputError{Text: "body is a text that isn't base64; send bytes as base64, or any other JSON value as it is"}
	}
	return out, nil
}

// request builds the message for placers. The id and the team are left empty.
func (f *form) request() (wire.Request, error) {
	body, err := f.payload()
	if err != nil {
		return wire.Request{}, err
	}
	return wire.Request{
		Queue: f.Queue, Kind: f.Kind, Name: f.Name, Needs: f.Needs, Tasks: f.Tasks,
		Runtime: time.Duration(f.Runtime), Budget: time.Duration(f.Deadline),
		Idempotent: f.Idempotent, Urgent: f.Urgent, Body: body,
	}, nil
}

// waits reports whether the caller waits for the answer.
func (f *form) waits() bool {
	if f.Kind != wire.Quick {
		return false
	}
	return f.Wait == nil || *f.Wait
}

// digest hashes the content of a request. It distinguishes a retry from a
// different request with the same id.
func digest(r *wire.Request) uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Queue, string(r.Kind), r.Name, strconv.Itoa(r.Tasks), strconv.FormatBool(r.Idempotent)} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	for _, n := range []int64{r.Needs.CPU, r.Needs.Mem, r.Needs.Accel, r.Needs.Slots, r.Needs.Conns} {
		_, _ = d.WriteString(strconv.FormatInt(n, 36))
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

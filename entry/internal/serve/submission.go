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
	// maxTasks bounds the tasks of one request.
	maxTasks = 100_000
	// maxText bounds names in bytes.
	maxText = 128
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

// submission is a request on its way from the caller, or from the entry
// process that the caller reached, to the one that keeps its record.
type submission struct {
	Key     string       `cbor:"key,omitempty"`
	Request wire.Request `cbor:"request"` // Budget is what is left of the deadline
	Cancel  bool         `cbor:"cancel,omitempty"`
	Wait    bool         `cbor:"wait,omitempty"`
	Hops    int          `cbor:"hops,omitempty"`  // entry processes passed
	Doubt   bool         `cbor:"doubt,omitempty"` // an earlier run may still go on

	private  bool // the id was issued for this very call
	deadline time.Time
}

// parseForm reads and checks the body of a submission. The error is an
// *InputError.
func parseForm(data []byte) (*form, error) {
	var f form
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, &InputError{Text: "the body is not the JSON of a request: " + err.Error()}
	}
	if text := f.fault(); text != "" {
		return nil, &InputError{Text: text}
	}
	if f.Tasks == 0 {
		f.Tasks = 1
	}
	return &f, nil
}

// fault returns what is wrong with the form, or an empty text.
func (f *form) fault() string {
	switch {
	case !f.Kind.Valid():
		return `kind has to be "quick", "service", "batch" or "gang"`
	case f.Queue == "" || len(f.Queue) > maxText:
		return "queue is missing or too long"
	case len(f.Name) > maxText:
		return "name is longer than " + strconv.Itoa(maxText) + " bytes"
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

// payload returns the bytes that the task gets: those of base64 text, or the
// JSON value as it was written.
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

// request returns the message for placers, without its id and team.
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

// waits reports whether the caller wants to wait for the answer.
func (f *form) waits() bool {
	if f.Kind != wire.Quick {
		return false
	}
	return f.Wait == nil || *f.Wait
}

// digest sums up what a request asks for, so that a retry can be told from
// another request with the same id.
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

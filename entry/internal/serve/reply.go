package serve

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/httpd"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/record"
	"github.com/balsamford/balsamford/entry/internal/relay"
)

const (
	jsonType  = "application/json"
	bytesType = "application/octet-stream"

	headerID      = "Request-Id"
	headerOutcome = "Outcome"
	headerReason  = "Reason"
	headerSum     = "Sum" // xxhash64 of the answer, hexadecimal
)

// Reply is the JSON body of every response that isn't a task's answer.
type Reply struct {
	ID      string       `json:"id,omitempty"`
	Phase   wire.Phase   `json:"phase,omitempty"`
	Outcome wire.Outcome `json:"outcome,omitempty"`
	Reason  string       `json:"reason,omitempty"`
	Detail  string       `json:"detail,omitempty"`
	Code    int          `json:"code,omitempty"` // exit code of the task
	Size    int64        `json:"size,omitempty"` // bytes of the answer
	Kept    bool         `json:"kept,omitempty"` // the answer can be fetched again
	Keep    int          `json:"keep,omitempty"` // seconds for which the record of the id is kept
	Held    bool         `json:"held,omitempty"` // accepted, but not yet written to the platform
	Cancel  bool         `json:"cancel,omitempty"`
	Tasks   []TaskReply  `json:"tasks,omitempty"`
}

// TaskReply is the state of one task of a job.
type TaskReply struct {
	Phase    wire.Phase   `json:"phase"`
	Attempt  uint32       `json:"attempt"`
	Endpoint string       `json:"endpoint,omitempty"`
	Outcome  wire.Outcome `json:"outcome,omitempty"`
	Code     int          `json:"code,omitempty"`
	Output   []byte       `json:"output,omitempty"`
}

// status returns the HTTP status code of an outcome with its reason code.
func status(outcome wire.Outcome, reason string) int {
	switch outcome {
	case wire.Done:
		return fasthttp.StatusOK
	case wire.Failed:
		return fasthttp.StatusFailedDependency
	case wire.NotRun, wire.Unknown:
	}
	if code, ok := reasonStatus(reason); ok {
		return code
	}
	if outcome == wire.NotRun {
		return fasthttp.StatusServiceUnavailable
	}
	return fasthttp.StatusInternalServerError
}

// reasonStatus returns the HTTP status code of a reason that determines it
// regardless of the outcome.
func reasonStatus(reason string) (int, bool) {
	switch reason {
	case wire.ReasonKey:
		return fasthttp.StatusUnauthorized, true
	case wire.ReasonQueue:
		return fasthttp.StatusForbidden, true
	case wire.ReasonDuplicate:
		return fasthttp.StatusConflict, true
	case wire.ReasonGone:
		return fasthttp.StatusGone, true
	case wire.ReasonSize:
		return fasthttp.StatusRequestEntityTooLarge, true
	case wire.ReasonInvalid:
		return fasthttp.StatusBadRequest, true
	case wire.ReasonNever:
		return fasthttp.StatusUnprocessableEntity, true
	case wire.ReasonLimit:
		return fasthttp.StatusTooManyRequests, true
	}
	return 0, false
}

// send writes a JSON response.
func send(x *httpd.Exchange, code int, r Reply) {
	if r.ID != "" {
		x.Header().Set(headerID, r.ID)
	}
	if r.Outcome != "" {
		x.Header().Set(headerOutcome, string(r.Outcome))
	}
	if r.Reason != "" {
		x.Header().Set(headerReason, r.Reason)
	}
	body, err := json.Marshal(r)
	if err != nil {
		return
	}
	x.Answer(code, jsonType, append(body, '\n'))
}

// fail writes a result other than wire.Done as a JSON response.
func fail(x *httpd.Exchange, id string, res relay.Result) {
	send(x, status(res.Outcome, res.Reason), Reply{
		ID: record.CallerID(id), Outcome: res.Outcome, Reason: res.Reason, Detail: res.Detail, Code: res.Code,
	})
}

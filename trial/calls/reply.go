package calls

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/wire"
)

// Reply is the reply to a call, with the HTTP status code in Status.
type Reply struct {
	Status  int          `json:"-"`
	ID      string       `json:"id"`
	Phase   wire.Phase   `json:"phase"`
	Outcome wire.Outcome `json:"outcome"`
	Reason  string       `json:"reason"`
	Detail  string       `json:"detail"`
	Code    int          `json:"code"`
	Tasks   []Task       `json:"tasks"`
	Answer  []byte       `json:"-"` // of a quick request
}

// Task is the state of one task of a job in a Reply.
type Task struct {
	Phase    wire.Phase   `json:"phase"`
	Attempt  uint32       `json:"attempt"`
	Endpoint string       `json:"endpoint"`
	Outcome  wire.Outcome `json:"outcome"`
	Code     int          `json:"code"`
	Output   []byte       `json:"output"`
}

// Accepted reports whether the reply confirms the acceptance of a job.
func (r *Reply) Accepted() bool {
	return r.Status/100 == 2 && r.ID != ""
}

// readReply decodes a response: either JSON, or the raw answer of a quick request
// with its ID, outcome and reason in the headers.
func readReply(res *fasthttp.Response) (Reply, error) {
	r := Reply{Status: res.StatusCode()}
	if string(res.Header.ContentType()) == "application/json" {
		if err := json.Unmarshal(res.Body(), &r); err != nil {
			return r, &LostError{Err: err}
		}
		return r, nil
	}
	r.ID = string(res.Header.Peek("Request-Id"))
	r.Outcome = wire.Outcome(res.Header.Peek("Outcome"))
	r.Reason = string(res.Header.Peek("Reason"))
	r.Answer = append([]byte{}, res.Body()...)
	return r, nil
}

package calls

import (
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// Request is the JSON body of a request.
type Request struct {
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
	Body       engine.Body    `json:"body"`
}

// Matches reports whether data is the answer of task number n of the request.
func (r *Request) Matches(n string, data []byte) bool {
	want := engine.Answer(r.Body.Tag+"/"+n, r.Body.Seed, r.Body.Size)
	return string(want) == string(data)
}

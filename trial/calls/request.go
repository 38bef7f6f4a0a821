package calls

import (
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// Form is the body of a request.
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

// Own reports whether data is the answer of task number n of the request.
func (f *Request) Matches(n string, data []byte) bool {
	want := engine.Answer(f.Body.Tag+"/"+n, f.Body.Seed, f.Body.Size)
	return string(want) == string(data)
}

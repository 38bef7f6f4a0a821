package audit

import "time"

// Record is an audit record. It contains no secrets.
type Record struct {
	ID      string    `json:"id"`             // key of its row, from NewID
	When    time.Time `json:"when"`           // time on the clock of the host that wrote it
	Who     string    `json:"who"`            // name of the operator's key
	Host    string    `json:"host,omitempty"` // host that handled the request
	Action  Action    `json:"action"`
	Verdict Verdict   `json:"verdict"`
	Base    uint64    `json:"base,omitempty"`    // configuration version that the change was based on
	Version uint64    `json:"version,omitempty"` // configuration version that the change created
	Object  string    `json:"object,omitempty"`  // target of the action, if it is a single one
	Changes []Change  `json:"changes,omitempty"`
	Detail  string    `json:"detail,omitempty"`
}

// Change is the difference that an action made, or would have made if accepted,
// to one object.
type Change struct {
	Object string `json:"object"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
}

package audit

import "time"

// Record is one entry of the trail. It holds no secrets.
type Record struct {
	ID      string    `json:"id"`   // key of its row; sorts by time
	When    time.Time `json:"when"` // clock of the host that wrote it
	Who     string    `json:"who"`  // name of the operator's key
	Host    string    `json:"host,omitempty"`
	Action  Action    `json:"action"`
	Verdict Verdict   `json:"verdict"`
	Base    uint64    `json:"base,omitempty"`    // version that a change was made to
	Version uint64    `json:"version,omitempty"` // version that it made
	Object  string    `json:"object,omitempty"`  // what was acted on, if it is one thing
	Changes []Change  `json:"changes,omitempty"`
	Detail  string    `json:"detail,omitempty"`
}

// Change is the difference that an action made, or would have made, to one
// object.
type Change struct {
	Object string `json:"object"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
}

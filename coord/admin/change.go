package admin

import (
	"time"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
)

// Change asks for a check or a publish.
type Change struct {
	// ID names the publish; the same id never has a second effect. The door
	// makes one if it is empty.
	ID string `json:"id,omitempty"`
	// Base is the version that the change was made to; nil for the newest.
	Base   *uint64       `json:"base,omitempty"`
	Action audit.Action  `json:"action"`           // publish, set or delete
	Files  []config.File `json:"files,omitempty"`  // objects: all with publish, some with set
	Delete []config.Ref  `json:"delete,omitempty"` // with delete
	// Wait asks for Steps until the version is in force everywhere.
	Wait bool `json:"wait,omitempty"`
	// Timeout bounds the wait, in nanoseconds.
	Timeout time.Duration `json:"timeout,omitempty"`
}

// Checked answers a check and a diff.
type Checked struct {
	Version uint64              `json:"version"` // that the change was compared with
	Changes []config.Difference `json:"changes"`
	Faults  []config.Fault      `json:"faults,omitempty"` // warnings only, if the status is 200
}

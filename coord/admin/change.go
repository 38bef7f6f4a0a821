package admin

import (
	"time"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
)

// Change is the body of a request to check or publish a configuration change.
type Change struct {
	// ID identifies the publish and makes it idempotent: a second request with
	// the same ID has no further effect. If it is empty the server creates one.
	ID string `json:"id,omitempty"`
	// Base is the configuration version that the change is based on; nil means
	// the newest.
	Base   *uint64       `json:"base,omitempty"`
	Action audit.Action  `json:"action"`           // publish, set or delete
	Files  []config.File `json:"files,omitempty"`  // all objects for publish, the changed ones for set
	Delete []config.Ref  `json:"delete,omitempty"` // objects to delete, for delete
	// Wait requests further Steps until all hosts have applied the version.
	Wait bool `json:"wait,omitempty"`
	// Timeout limits the wait, in nanoseconds.
	Timeout time.Duration `json:"timeout,omitempty"`
}

// Checked is the response to a check or a diff.
type Checked struct {
	Version uint64              `json:"version"` // version that the change was compared with
	Changes []config.Difference `json:"changes"`
	Faults  []config.Fault      `json:"faults,omitempty"` // only warnings if the status is 200
}

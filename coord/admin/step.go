package admin

import "github.com/balsamford/balsamford/coord/config"

// Step is one line of a response that reports progress. The last line of the
// response to a publish has Done or Failure set.
type Step struct {
	ID        string              `json:"id,omitempty"`
	Version   uint64              `json:"version"`
	Published bool                `json:"published,omitempty"`
	Unchanged bool                `json:"unchanged,omitempty"`
	Changes   []config.Difference `json:"changes,omitempty"`
	Warnings  []config.Fault      `json:"warnings,omitempty"`
	Progress  *config.Progress    `json:"progress,omitempty"`
	Done      bool                `json:"done,omitempty"`
	Failure   *Failure            `json:"failure,omitempty"`
}

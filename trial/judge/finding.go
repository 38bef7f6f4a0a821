package judge

import "strings"

// Finding is one broken promise.
type Finding struct {
	Promise Promise
	Subject string // the task, endpoint, team, caller or process
	Detail  string
}

// String returns the finding as one line.
func (f Finding) String() string {
	return strings.Join([]string{string(f.Promise), f.Subject, f.Detail}, ": ")
}

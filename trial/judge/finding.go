package judge

import "strings"

// Finding is one violation of an invariant.
type Finding struct {
	Invariant Invariant
	Subject   string // the task, endpoint, team, caller or process
	Detail    string
}

// String returns the finding as one line.
func (f Finding) String() string {
	return strings.Join([]string{string(f.Invariant), f.Subject, f.Detail}, ": ")
}

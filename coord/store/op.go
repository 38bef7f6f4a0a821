package store

// Any is the expected version of a write that is not conditional.
const Any = ^uint64(0)

// Op is one part of a transaction. It applies only if the row's version is
// the expected one; 0 stands for a row that doesn't exist. If the condition
// of any part fails, no part takes effect.
type Op struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Expect uint64 `json:"expect"`
	Value  []byte `json:"value,omitempty"`
	Action Action `json:"action"`
}

// Action is what an Op does.
type Action string

// The actions. Check only compares the version.
const (
	Put    Action = "put"
	Delete Action = "delete"
	Check  Action = "check"
)

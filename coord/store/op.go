package store

// Any is the expected version of an unconditional operation.
const Any = ^uint64(0)

// Op is one operation of a transaction. It applies only if the row has the
// version Expect; 0 means that the row must not exist. If the version of any
// row differs, no operation of the transaction applies.
type Op struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Expect uint64 `json:"expect"`
	Value  []byte `json:"value,omitempty"`
	Action Action `json:"action"`
}

// Action is what an Op does.
type Action string

// The actions. Check compares the version and writes nothing.
const (
	Put    Action = "put"
	Delete Action = "delete"
	Check  Action = "check"
)

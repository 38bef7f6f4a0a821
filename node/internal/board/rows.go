package board

import (
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/platform"
)

// Tables of a cell. All rows lie in one partition, so that a write by the owner
// can depend on its ownership.
const (
	Table    = "board"    // owner, hosts, phases and cancellations
	Jobs     = "jobs"     // what was submitted
	Progress = "progress" // recorded progress, by job
	Part     = "main"
)

// Keys of the board's rows.
const (
	OwnerKey     = "owner"
	hostPrefix   = "host/"
	jobPrefix    = "job/"
	cancelPrefix = "cancel/"
)

// JobKey returns the key of a job's row.
func JobKey(id string) string { return jobPrefix + id }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id string) string { return cancelPrefix + id }

// HostKey returns the key of a host's row.
func HostKey(name string) string { return hostPrefix + name }

// Owner is who decides for the cell. The owner rewrites the row with each write,
// so that the row's version proves ownership and shows that the owner lives.
type Owner struct {
	Host     string `cbor:"1,keyasint"`
	Process  string `cbor:"2,keyasint"` // tells processes of one host apart
	Epoch    int64  `cbor:"3,keyasint"` // fencing token
	Seq      int64  `cbor:"4,keyasint"` // of the owner's writes
	Resigned bool   `cbor:"5,keyasint,omitempty"`
}

// Host is one of the system's hosts.
type Host struct {
	Name    string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Link    string `cbor:"3,keyasint"` // address for calls between hosts
	Process string `cbor:"4,keyasint"`
}

// Job is how far a job has come.
type Job struct {
	Queue string      `cbor:"1,keyasint"`
	Team  string      `cbor:"2,keyasint,omitempty"`
	Phase model.Phase `cbor:"3,keyasint,omitempty"`
	Ended int64       `cbor:"4,keyasint,omitempty"` // Unix seconds
}

// Put returns the write of a row of one of the cell's tables.
func Put(table, key string, v any) (platform.Put, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return platform.Put{}, &EncodeError{Key: key, Err: err}
	}
	return platform.Put{Table: table, Part: Part, Key: key, Value: data}, nil
}

// Expect returns the condition that a row of one of the cell's tables has a
// version.
func Expect(table, key string, version int64) platform.Condition {
	return platform.Condition{Table: table, Part: Part, Key: key, Version: version}
}

// Decode reads the value of a row.
func Decode(row platform.Row, v any) error {
	if err := cbor.Unmarshal(row.Value, v); err != nil {
		return &DecodeError{Table: row.Table, Key: row.Key, Err: err}
	}
	return nil
}

// suffix returns the rest of key after prefix.
func suffix(key, prefix string) (string, bool) {
	return strings.CutPrefix(key, prefix)
}

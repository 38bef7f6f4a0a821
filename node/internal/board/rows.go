package board

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/platform"
)

// Tables of a cell.
const (
	Table    = "board"    // owner, hosts, accepted jobs with their phases and cancellations
	Progress = "progress" // recorded progress, by job
	// Submitted has what clients submitted, by job, until the job has ended.
	Submitted = "submitted"
)

// Keys of the board's rows.
const (
	OwnerKey     = "owner"
	hostPrefix   = "host/"
	acceptPrefix = "accept/"
	phasePrefix  = "phase/"
	cancelPrefix = "cancel/"
	// ClosedKey names the row of Progress that holds Closed.
	ClosedKey = "closed"
	// ClaimKey names the row of Submitted that is written with each claim of ownership, so
	// that who follows the table hears at once that it is complete up to the claim.
	ClaimKey = "claim"
)

// AcceptKey returns the key of the row that makes a job accepted.
func AcceptKey(id string) string { return acceptPrefix + id }

// PhaseKey returns the key of a job's phase, which the owner writes.
func PhaseKey(id string) string { return phasePrefix + id }

// PhaseJob returns the job whose phase a row holds, and whether it holds one.
func PhaseJob(key string) (string, bool) { return suffix(key, phasePrefix) }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id string) string { return cancelPrefix + id }

// HostKey returns the key of a host's row.
func HostKey(name string) string { return hostPrefix + name }

// Format is the version of the rows' format that this program writes. It reads all
// earlier ones; rows without one are of version 0. Fields are only ever added, so that
// an earlier program reads what it knows; it doesn't own a cell whose rows are of a
// later format, since it would drop what it doesn't know.
const Format = 2

// SplitFormat is the first format with a table of its own for submissions. Owners of
// an earlier one expect them in the rows of the board.
const SplitFormat = 2

// Owner is who decides for the cell. The owner rewrites the row with each write,
// so that the row's version proves ownership and shows that the owner lives.
type Owner struct {
	Host     string `cbor:"1,keyasint"`
	Process  string `cbor:"2,keyasint"` // tells processes of one host apart
	Epoch    int64  `cbor:"3,keyasint"` // fencing token
	Seq      int64  `cbor:"4,keyasint"` // of the owner's writes
	Resigned bool   `cbor:"5,keyasint,omitempty"`
	// Authority is how long after this write the owner may start work without
	// another one. Nobody takes over earlier, unless the owner agrees.
	Authority  time.Duration `cbor:"6,keyasint,omitempty"`
	Successors []string      `cbor:"7,keyasint,omitempty"` // hosts that take over first, in this order
	// Unsteady is whether executors that live may lack their entries, since the store
	// was away a moment ago.
	Unsteady bool          `cbor:"8,keyasint,omitempty"`
	Written  time.Duration `cbor:"9,keyasint,omitempty"` // on the owner's clock since its machine started
	Format   int           `cbor:"10,keyasint,omitempty"`
	// Zone is the one, if any, on whose executors each run is recorded before it starts.
	Zone string `cbor:"11,keyasint,omitempty"`
}

// Closed is the executors that the owner starts nothing on. All runs there, but for
// Unsure, are recorded: those of an executor that isn't named may be a moment ahead of the
// record.
type Closed struct {
	Executors []string `cbor:"1,keyasint,omitempty"`
	// Unsure are those of Executors that haven't reported to the owner: an earlier owner
	// may have started runs there that aren't recorded.
	Unsure []string `cbor:"3,keyasint,omitempty"`
	// Lapses tells of executors that don't answer when all leases there have surely
	// ended, on the store's clock.
	Lapses map[string]time.Duration `cbor:"2,keyasint,omitempty"`
}

// Host is one of the system's hosts.
type Host struct {
	Name    string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Link    string `cbor:"3,keyasint"` // address for calls between hosts
	Process string `cbor:"4,keyasint"`
	Power   int    `cbor:"5,keyasint,omitempty"` // thousandths of a core that it may use
}

// Accepted is a job that has been accepted.
type Accepted struct {
	Queue string     `cbor:"1,keyasint"`
	Team  string     `cbor:"2,keyasint,omitempty"`
	Job   *model.Job `cbor:"3,keyasint,omitempty"` // until it has ended, if it isn't in the table Submitted
	Sent  time.Time  `cbor:"4,keyasint,omitempty"` // when it was accepted, if Job is nil
}

// Phase is how far a job has come; without the row it is queued.
type Phase struct {
	Phase model.Phase `cbor:"1,keyasint"`
	Ended int64       `cbor:"2,keyasint,omitempty"` // Unix seconds
}

// encoding returns how values are written: times with their fractions of a
// second, which the library's default cuts off.
func encoding() (cbor.EncMode, error) { return cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode() }

// Put returns the write of a row.
func Put(table, part, key string, v any) (platform.Put, error) {
	mode, err := encoding()
	if err != nil {
		return platform.Put{}, &EncodeError{Key: key, Err: err}
	}
	data, err := mode.Marshal(v)
	if err != nil {
		return platform.Put{}, &EncodeError{Key: key, Err: err}
	}
	return platform.Put{Table: table, Part: part, Key: key, Value: data}, nil
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

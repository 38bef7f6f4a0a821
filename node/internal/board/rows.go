package board

import (
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/platform"
)

// Tables of a cell.
const (
	Table    = "board"    // owner, hosts, accepted jobs, phases and cancellations
	Progress = "progress" // recorded progress, by job
	// Submitted holds the submitted job specifications, by job, until the job has ended.
	Submitted = "submitted"
)

// Keys and key prefixes of the rows.
const (
	OwnerKey     = "owner"
	hostPrefix   = "host/"
	acceptPrefix = "accept/"
	phasePrefix  = "phase/"
	cancelPrefix = "cancel/"
	// ClosedKey is the key of the row of table Progress that holds a Closed.
	ClosedKey = "closed"
	// usedPrefix begins the keys of the rows of table Progress that hold a Used each.
	usedPrefix = "used/"
	// ClaimKey is the key of a row of table Submitted that each claim of ownership
	// rewrites, so that a host that watches the table learns at once when its copy is
	// complete up to the claim.
	ClaimKey = "claim"
)

// UsedKey returns the key of the row of table Progress that holds the nth Used.
func UsedKey(n int) string { return usedPrefix + strconv.Itoa(n) }

// UsedNumber returns the number of the Used that the row with a key holds, and false if the row
// doesn't hold one.
func UsedNumber(key string) (int, bool) {
	text, ok := suffix(key, usedPrefix)
	n, err := strconv.Atoi(text)
	return n, ok && err == nil && n >= 0
}

// AcceptKey returns the key of a job's acceptance row. A job is accepted once that row
// is stored.
func AcceptKey(id string) string { return acceptPrefix + id }

// PhaseKey returns the key of a job's phase row, which only the owner writes.
func PhaseKey(id string) string { return phasePrefix + id }

// PhaseJob returns the ID of the job whose phase row has that key, and false if key is
// not that of a phase row.
func PhaseJob(key string) (string, bool) { return suffix(key, phasePrefix) }

// CancelKey returns the key of a job's cancellation row.
func CancelKey(id string) string { return cancelPrefix + id }

// HostKey returns the key of a host's row.
func HostKey(name string) string { return hostPrefix + name }

// Format is the version of the row format that this program writes. It reads all
// earlier versions; rows without a version are of version 0. Fields are only ever added,
// so that an older program can read newer rows. It doesn't take ownership of a cell whose
// rows have a newer format, since rewriting them would drop the fields that it doesn't
// know.
const Format = 4

// The number of a record's next occurrence came with format 3: owners with an earlier one would
// begin the occurrences before it again.

// With format 4 owners send executors fencing tokens that are larger than an epoch: executors refuse
// the calls of owners with an earlier format after that. They don't write the rows of type Used either.

// UsedFormat is the first format of owners that record each executor in a Used before its first run.
const UsedFormat = 4

// SplitFormat is the first format that keeps submissions in the table Submitted. Owners
// with an earlier format expect them in the acceptance rows of the board.
const SplitFormat = 2

// Owner is the row of the host that owns the cell, the leader of its hosts. The owner
// rewrites it with each of its writes, so that the row's version proves ownership and
// each new version serves as a heartbeat.
type Owner struct {
	Host     string `cbor:"1,keyasint"`
	Process  string `cbor:"2,keyasint"` // distinguishes successive processes of one host
	Epoch    int64  `cbor:"3,keyasint"` // upper part of fencing tokens
	Seq      int64  `cbor:"4,keyasint"` // sequence number of the owner's write
	Resigned bool   `cbor:"5,keyasint,omitempty"`
	// Authority is how long after this write the owner may start work without writing
	// again. No other host takes over before that, unless the owner consents.
	Authority  time.Duration `cbor:"6,keyasint,omitempty"`
	Successors []string      `cbor:"7,keyasint,omitempty"` // hosts preferred for a takeover, in this order
	// ExecutorsMayBeMissing reports that live executors may be missing from the executor table,
	// since the store was unavailable a short time ago.
	ExecutorsMayBeMissing bool `cbor:"8,keyasint,omitempty"`
	// StoreTime is the earliest time that the store's clock may have shown when the write was
	// sent, zero if that isn't known. The age of the row follows from it on any host, however
	// long that host couldn't read the row. Keys 9 and 12 had times on the owner's clocks.
	StoreTime time.Duration `cbor:"13,keyasint,omitempty"`
	Format    int           `cbor:"10,keyasint,omitempty"`
	// WriteAheadZone is the owner's zone if, as of this write, all runs on executors there
	// are recorded, since the owner records each run there before it starts it. It is empty
	// for no zone.
	WriteAheadZone string `cbor:"11,keyasint,omitempty"`
}

// Closed lists the executors on which the owner starts no work. Except on those in
// Unverified, all runs on them are recorded. On executors that aren't listed, runs may have
// started that are not recorded yet.
type Closed struct {
	Executors []string `cbor:"1,keyasint,omitempty"`
	// Unverified is the subset of Executors that haven't reported to the owner: an earlier
	// owner may have started runs there that aren't recorded.
	Unverified []string `cbor:"3,keyasint,omitempty"`
	// LeaseEnds maps unresponsive executors to the time on the store's clock by which all
	// leases there have expired.
	LeaseEnds map[string]time.Duration `cbor:"2,keyasint,omitempty"`
}

// Used lists executors on which the owner may start work, by ID. An executor is listed in a row
// before its first run starts, and until it can't have runs any more. So a successor knows each
// executor that an earlier owner may have used, also one without an entry of its own.
type Used struct {
	Executors map[string]UsedExecutor `cbor:"1,keyasint,omitempty"`
}

// UsedExecutor is what a successor needs to ask an executor for its runs.
type UsedExecutor struct {
	Service string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint,omitempty"`
}

// Host is the row by which a host registers.
type Host struct {
	Name    string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Link    string `cbor:"3,keyasint"` // address for calls between hosts
	Process string `cbor:"4,keyasint"`
	Power   int    `cbor:"5,keyasint,omitempty"` // CPU that the process may use, in thousandths of a core
	Started int64  `cbor:"6,keyasint,omitempty"` // when the process began, in Unix ms by its clock; 0 if unknown
}

// Accepted is a job's acceptance row.
type Accepted struct {
	Queue string     `cbor:"1,keyasint"`
	Team  string     `cbor:"2,keyasint,omitempty"`
	Job   *model.Job `cbor:"3,keyasint,omitempty"` // nil if it is in the table Submitted, or the job has ended
	Sent  time.Time  `cbor:"4,keyasint,omitempty"` // time of acceptance, if Job is nil
	// Host and Prefix are the address of the queue at the time of acceptance. They are empty in
	// rows of earlier programs.
	Host   string `cbor:"5,keyasint,omitempty"`
	Prefix string `cbor:"6,keyasint,omitempty"`
}

// AcceptedJob returns the acceptance row of a job whose submission is stored elsewhere or isn't
// needed any more.
func AcceptedJob(j *model.Job) Accepted {
	host, prefix := j.Address()
	return Accepted{Queue: j.Queue, Team: j.Team, Sent: j.Sent, Host: host, Prefix: prefix}
}

// In reports whether the job belongs to a queue.
func (a *Accepted) In(q *model.Queue) bool { return q.Owns(a.Queue, a.Host, a.Prefix) }

// accepter identifies a queue by its name and its address when it accepted a job.
type accepter struct{ name, host, prefix string }

func (a *Accepted) accepter() accepter { return accepter{a.Queue, a.Host, a.Prefix} }

// Check returns an *model.InvalidJobError if the row has a job that can't be scheduled.
func (a *Accepted) Check() error {
	if a.Job == nil {
		return nil
	}
	return a.Job.Check()
}

// Phase is a job's phase row. A job without one is queued.
type Phase struct {
	Phase model.Phase `cbor:"1,keyasint"`
	Ended int64       `cbor:"2,keyasint,omitempty"` // Unix seconds
}

// Check returns an *model.UnknownPhaseError if the row was damaged.
func (p *Phase) Check() error { return p.Phase.Check() }

// encodeMode returns the encoder for row values. It keeps the fractions of a second of
// times, which the library truncates by default.
func encodeMode() (cbor.EncMode, error) { return cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode() }

// Put returns the put of a row with v encoded as its value. The error is an
// *EncodeError.
func Put(table, part, key string, v any) (platform.Put, error) {
	mode, err := encodeMode()
	if err != nil {
		return platform.Put{}, &EncodeError{Key: key, Err: err}
	}
	data, err := mode.Marshal(v)
	if err != nil {
		return platform.Put{}, &EncodeError{Key: key, Err: err}
	}
	return platform.Put{Table: table, Part: part, Key: key, Value: data}, nil
}

// Decode decodes the value of a row into v and checks it, if it has a method Check. The error
// is a *DecodeError.
func Decode(row platform.Row, v any) error {
	if err := cbor.Unmarshal(row.Value, v); err != nil {
		return &DecodeError{Table: row.Table, Key: row.Key, Err: err}
	}
	if c, ok := v.(interface{ Check() error }); ok {
		if err := c.Check(); err != nil {
			return &DecodeError{Table: row.Table, Key: row.Key, Err: err}
		}
	}
	return nil
}

// suffix returns the part of key after prefix, and false if key doesn't begin with it.
func suffix(key, prefix string) (string, bool) {
	return strings.CutPrefix(key, prefix)
}

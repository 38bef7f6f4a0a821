package record

import "github.com/balsamford/balsamford/coord/wire"

// Verb is the name of the calls that entry processes make to one another
// about records.
const Verb = "record"

// Note is a record as it travels and as it stands in the platform's table.
type Note struct {
	ID      string       `cbor:"id"`
	Team    string       `cbor:"team"`
	Digest  uint64       `cbor:"digest"` // of the request's content
	Host    string       `cbor:"host"`   // who may run it
	Epoch   uint64       `cbor:"epoch"`  // of that host's process
	Run     uint32       `cbor:"run"`    // goes up when a request that was not run is claimed again
	Once    bool         `cbor:"once"`   // not idempotent
	At      int64        `cbor:"at"`     // of the claim, Unix seconds
	Outcome wire.Outcome `cbor:"outcome,omitempty"`
	Reason  string       `cbor:"reason,omitempty"`
	Detail  string       `cbor:"detail,omitempty"`
	Code    int          `cbor:"code,omitempty"`
	Size    int64        `cbor:"size,omitempty"`
	Sum     uint64       `cbor:"sum,omitempty"`
	Kept    bool         `cbor:"kept,omitempty"` // Body is the whole answer
	Body    []byte       `cbor:"body,omitempty"`
}

// Ended reports whether the outcome is known.
func (n *Note) Ended() bool { return n.Outcome != "" }

// doubtful reports whether a run of the claim may still go on.
func (n *Note) doubtful() bool { return !n.Ended() || n.Outcome == wire.Unknown }

// sameClaim reports whether both notes are of one process's claim.
func (n *Note) sameClaim(o *Note) bool { return n.Host == o.Host && n.Epoch == o.Epoch }

// Ask is a call of Verb.
type Ask struct {
	Op    string `cbor:"op"`
	Note  Note   `cbor:"note"`            // with opHold
	Notes []Note `cbor:"notes,omitempty"` // with opEnd
	From  string `cbor:"from,omitempty"`  // with opPull: who asks
	Next  string `cbor:"next,omitempty"`  // with opPull: the part that is wanted
}

// Told answers an Ask.
type Told struct {
	Held     bool   `cbor:"held,omitempty"`     // the claim is held now
	Complete bool   `cbor:"complete,omitempty"` // the holder has forgotten nothing that matters
	Notes    []Note `cbor:"notes,omitempty"`    // what was there before, or the next part of a pull
	Next     string `cbor:"next,omitempty"`     // the next part, empty at the end
}

// The calls.
const (
	opHold = "hold" // hold this claim
	opEnd  = "end"  // note the outcomes
	opPull = "pull" // return the records that both hosts hold
)

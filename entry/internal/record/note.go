package record

import "github.com/balsamford/balsamford/coord/wire"

// Verb is the verb of the calls about records between entry processes.
const Verb = "record"

// Note is a record as it is sent between processes and stored in the platform's
// table.
type Note struct {
	ID      string       `cbor:"id"`
	Team    string       `cbor:"team"`
	Digest  uint64       `cbor:"digest"` // hash of the request's content
	Host    string       `cbor:"host"`   // the host that has claimed the request
	Epoch   uint64       `cbor:"epoch"`  // of the process on that host, in Unix milliseconds
	Run     uint32       `cbor:"run"`    // number of the attempt; incremented when the request is claimed again
	Once    bool         `cbor:"once"`   // the request is not idempotent
	At      int64        `cbor:"at"`     // time of the claim in Unix seconds
	Outcome wire.Outcome `cbor:"outcome,omitempty"`
	Reason  string       `cbor:"reason,omitempty"`
	Detail  string       `cbor:"detail,omitempty"`
	Code    int          `cbor:"code,omitempty"`
	Size    int64        `cbor:"size,omitempty"`
	Sum     uint64       `cbor:"sum,omitempty"`
	Kept    bool         `cbor:"kept,omitempty"` // Body has the whole answer
	Body    []byte       `cbor:"body,omitempty"`
}

// Ended reports whether the note has an outcome, which may be wire.Unknown.
func (n *Note) Ended() bool { return n.Outcome != "" }

// mayBeRunning reports whether a run of the claim may still be in progress.
func (n *Note) mayBeRunning() bool { return !n.Ended() || n.Outcome == wire.Unknown }

// sameClaim reports whether the same process made both claims.
func (n *Note) sameClaim(o *Note) bool { return n.Host == o.Host && n.Epoch == o.Epoch }

// PeerRequest is the request message of Verb.
type PeerRequest struct {
	Op    string `cbor:"op"`
	Note  Note   `cbor:"note"`            // with opHold
	Notes []Note `cbor:"notes,omitempty"` // with opEnd
	From  string `cbor:"from,omitempty"`  // with opPull: name of the calling host
	Next  string `cbor:"next,omitempty"`  // with opPull: the part to return
}

// PeerReply is the reply message of Verb.
type PeerReply struct {
	Held     bool   `cbor:"held,omitempty"`     // the claim has been stored
	Complete bool   `cbor:"complete,omitempty"` // the sender has every record that both hosts should hold
	Notes    []Note `cbor:"notes,omitempty"`    // the conflicting claim, or one part of a pull
	Next     string `cbor:"next,omitempty"`     // the next part; empty after the last one
}

// The operations of a PeerRequest.
const (
	opHold = "hold" // store this claim
	opEnd  = "end"  // record these outcomes
	opPull = "pull" // return the records that both hosts hold
)

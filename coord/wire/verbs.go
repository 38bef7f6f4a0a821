package wire

// The verbs that placers serve.
const (
	// VerbPlace runs a request. It receives a Request and sends Events up to
	// and including one with an Outcome. For a job, an event with the phase
	// Queued means that the placer drives the job from now on, even if the
	// stream breaks.
	VerbPlace = "place"
	// VerbStatus looks a job up. It receives a Lookup and sends a Job.
	VerbStatus = "status"
	// VerbCancel cancels a request. It receives a Lookup and sends a Cancelled.
	VerbCancel = "cancel"
	// VerbSettle resolves a quick request whose outcome is unknown. It receives
	// a Lookup and sends a Settled. The placer stops the request's runs, and
	// from then on rejects all attempts up to the one in the Lookup.
	VerbSettle = "settle"
	// VerbLoad reports a placer's load. It receives an Empty and sends a Load.
	VerbLoad = "load"
	// VerbBeat exchanges heartbeats between the placers of a zone (package
	// roster).
	VerbBeat = "beat"
	// VerbPart moves parts of upper limits between placers (package parts).
	VerbPart = "part"
	// VerbNote notifies another placer of the zone of events on tasks and
	// endpoints of the jobs that it drives.
	VerbNote = "note"
	// VerbTell announces a configuration head to another host, and VerbFetch
	// returns a whole configuration. Both programs serve both.
	VerbTell  = "tell"
	VerbFetch = "fetch"
	// VerbHead receives a config.Ask and sends a config.Status: what the host
	// knows of the newest configuration. Both programs serve it.
	VerbHead = "head"
)

// Empty is a message without fields.
type Empty struct{}

// Lookup identifies a request.
type Lookup struct {
	ID      string `cbor:"id"`
	Attempt uint32 `cbor:"attempt,omitempty"` // with VerbSettle: the latest attempt that may have been sent
}

// Cancelled is the answer to a VerbCancel. NotRun is true only if the request
// was still queued and will never start.
type Cancelled struct {
	Found  bool `cbor:"found"` // the placer knows the request
	NotRun bool `cbor:"notrun"`
}

// Settled is the answer to a VerbSettle. The request doesn't run in a zone, and
// won't start there, if both hold: every placer that appears in the Live list of
// any answer has answered with Clear, and every executor in a Known list is in
// one of their Owned lists.
type Settled struct {
	Clear bool     `cbor:"clear"` // the request neither runs on endpoints owned by this placer nor waits in its queues
	Owned []string `cbor:"owned"` // executors that this placer owns
	Known []string `cbor:"known"` // all executors of the zone
	Live  []string `cbor:"live"`  // live placers of the zone, including this one
}

// Load describes a placer's load, for routing.
type Load struct {
	Name    string           `cbor:"name"`
	Zone    string           `cbor:"zone"`
	Epoch   uint64           `cbor:"epoch"`   // of the placer's process; a higher epoch supersedes a lower one
	Free    map[Kind]Needs   `cbor:"free"`    // free capacity, by the kind of request that can use it
	Queued  map[string]int   `cbor:"queued"`  // number of waiting requests, by queue
	Wait    map[string]int64 `cbor:"wait"`    // estimated wait in milliseconds, by queue
	Version uint64           `cbor:"version"` // of the placer's configuration
	Leaving bool             `cbor:"leaving,omitempty"`
}

package wire

// The verbs that placers serve.
const (
	// VerbPlace: Request in; Events out until one has an Outcome. A Phase
	// Queued event on a job means that the placer drives it now, whatever
	// becomes of the stream.
	VerbPlace = "place"
	// VerbStatus: Lookup in, Job out.
	VerbStatus = "status"
	// VerbCancel: Lookup in, Cancelled out.
	VerbCancel = "cancel"
	// VerbSettle: Lookup of a quick request in, Settled out. Runs of it are
	// stopped, and attempts up to the given one are refused from then on.
	VerbSettle = "settle"
	// VerbLoad: Empty in, Load out.
	VerbLoad = "load"
	// VerbBeat: placers of a zone tell one another that they live.
	VerbBeat = "beat"
	// VerbPart: placers move parts of upper limits.
	VerbPart = "part"
	// VerbNote: placers of a zone tell one another what happened to tasks and
	// endpoints whose job the other drives.
	VerbNote = "note"
	// VerbTell: hosts tell one another configuration heads; served by both
	// programs, as is VerbFetch, which returns a whole configuration.
	VerbTell  = "tell"
	VerbFetch = "fetch"
	// VerbHead: config.Ask in; what the host knows of the newest configuration out
	// (config.Status). Served by both programs.
	VerbHead = "head"
)

// Empty is a message without content.
type Empty struct{}

// Lookup names a request.
type Lookup struct {
	ID      string `cbor:"id"`
	Attempt uint32 `cbor:"attempt,omitempty"` // with VerbSettle, the latest that may have been sent
}

// Cancelled answers a VerbCancel. NotRun is true only if the request was
// still queued and will never start.
type Cancelled struct {
	Found  bool `cbor:"found"`
	NotRun bool `cbor:"notrun"`
}

// Settled answers a VerbSettle. No run of the request goes on in a zone, and
// none will begin, if all placers that any of them counts as alive say Clear
// and each executor is owned by one of them.
type Settled struct {
	Clear bool     `cbor:"clear"` // nothing of it runs at the endpoints owned here, or waits here
	Owned []string `cbor:"owned"` // executors that this placer owns
	Known []string `cbor:"known"` // executors of the zone
	Live  []string `cbor:"live"`  // placers of the zone that live, this one included
}

// Load is what a placer says of itself, for routing.
type Load struct {
	Name    string           `cbor:"name"`
	Zone    string           `cbor:"zone"`
	Epoch   uint64           `cbor:"epoch"`   // of its process; a later one replaces an earlier one
	Free    map[Kind]Needs   `cbor:"free"`    // room by kind of request that could use it
	Queued  map[string]int   `cbor:"queued"`  // requests waiting, by queue
	Wait    map[string]int64 `cbor:"wait"`    // estimated wait in milliseconds, by queue
	Version uint64           `cbor:"version"` // of its configuration
	Leaving bool             `cbor:"leaving,omitempty"`
}

package config

import "time"

// Status answers a wire.VerbHead: what a process has applied and how old the
// read is that confirms it.
type Status struct {
	Name string `cbor:"name"`
	Zone string `cbor:"zone"`
	Head Head   `cbor:"head"` // of the version applied; Version 0 if none is
	// Age is how long before the answer the confirming read was sent;
	// negative if none was.
	Age time.Duration `cbor:"age"`
	// Drains are the hosts and endpoints under a drain, read Read before the
	// answer; they say nothing if Read is negative.
	Drains []string      `cbor:"drains,omitempty"`
	Read   time.Duration `cbor:"read"`
	// Joined says that the process wrote the asker's row.
	Joined bool `cbor:"joined,omitempty"`
	// Run tells the process from others of its name; empty if it may not
	// publish.
	Run string `cbor:"run,omitempty"`
	// Answered says that Age rests on answers to a Question, not on a read.
	Answered bool `cbor:"answered,omitempty"`
	// Sure answers a Question.
	Sure bool `cbor:"sure,omitempty"`
	// Roll is the roll by which the process asks, if the asker's is older;
	// the read that returned it was sent RollAge before the answer.
	Roll    *Roll         `cbor:"roll,omitempty"`
	RollAge time.Duration `cbor:"rollage,omitempty"`
	// Finals are the last answers that the process knows.
	Finals []Final `cbor:"finals,omitempty"`
}

// Told is the message of a wire.VerbTell: there is a new head. It confirms
// nothing, because it may have been long on its way.
type Told struct {
	Head    Head   `cbor:"head"`
	Address string `cbor:"address"` // where its content can be fetched
	// Finals are last answers, from processes that have left.
	Finals []Final `cbor:"finals,omitempty"`
}

// Fetch is the message of a wire.VerbFetch.
type Fetch struct {
	Have string `cbor:"have,omitempty"` // digest of the content that the asker has
}

// Content answers a wire.VerbFetch with the newest version that the process
// has applied: the whole encoded set, or what changed since the version that
// the asker has.
type Content struct {
	Head   Head    `cbor:"head"`
	Data   []byte  `cbor:"data,omitempty"`
	Change *Change `cbor:"change,omitempty"`
}

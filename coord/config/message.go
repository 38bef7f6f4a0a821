package config

import "time"

// Status is the reply to wire.VerbHead and wire.VerbTell: the version that a
// process has applied, and the age of its confirmation. The reply to a Question
// sets only Name, Zone, Run, Sure, Finals and, if Sure is false, Head; its Age
// and DrainsAge are -1.
type Status struct {
	Name string `cbor:"name"`
	Zone string `cbor:"zone"`
	Head Head   `cbor:"head"` // of the version applied; Version 0 if none is
	// Age is the time from the confirming read, or from the query of the
	// writers, to this reply; negative if the version is unconfirmed.
	Age time.Duration `cbor:"age"`
	// Drains are the hosts and endpoints that are draining. The read that
	// returned them was sent DrainsAge before this reply; they are unknown if
	// DrainsAge is negative.
	Drains    []string      `cbor:"drains,omitempty"`
	DrainsAge time.Duration `cbor:"read"`
	// Joined reports that the process wrote the row of Ask.Join.
	Joined bool `cbor:"joined,omitempty"`
	// Run is the random ID of a writer's run; empty if the process may not
	// publish.
	Run string `cbor:"run,omitempty"`
	// Answered reports that Age counts from a query of the writers, not from a
	// read of the head.
	Answered bool `cbor:"answered,omitempty"`
	// Sure reports, in the reply to a Question, that this is the run asked for
	// and that it knows of no newer version.
	Sure bool `cbor:"sure,omitempty"`
	// Roll is the roll that the process uses, set if the one in Ask.Roll is
	// older. The read that returned it was sent RollAge before this reply.
	Roll    *Roll         `cbor:"roll,omitempty"`
	RollAge time.Duration `cbor:"rollage,omitempty"`
	// Finals are the last answers that the process has of writers that left.
	Finals []Final `cbor:"finals,omitempty"`
}

// Announcement is the message of wire.VerbTell: it announces a head. It confirms no
// version, because it may have been delayed on its way.
type Announcement struct {
	Head    Head   `cbor:"head"`
	Address string `cbor:"address"` // link.Node address that serves the content with wire.VerbFetch
	// Finals are the last answers of writers that leave.
	Finals []Final `cbor:"finals,omitempty"`
}

// Fetch is the message of wire.VerbFetch, a request for the newest content.
type Fetch struct {
	Have string `cbor:"have,omitempty"` // digest of the content that the requester has; empty if it has none
}

// Content is the reply to wire.VerbFetch: the newest version that the process
// has applied, either as the whole encoded set or as the change since the
// requester's version. Head.Version is 0 if the process has none.
type Content struct {
	Head   Head    `cbor:"head"`
	Data   []byte  `cbor:"data,omitempty"`
	Change *Change `cbor:"change,omitempty"`
}

package config

import "context"

// Peer is another process that follows the configuration.
type Peer struct {
	Name    string `json:"name" cbor:"name"` // unique among all processes
	Zone    string `json:"zone" cbor:"zone"`
	Address string `json:"address" cbor:"address"` // of its link.Node
	// List is the number of the oldest roll by which the process may ask for
	// answers; 0 if it doesn't.
	List uint64 `json:"list,omitempty" cbor:"list,omitempty"`
}

// Roster returns the processes that follow the configuration, as far as this
// one knows them. It is called concurrently. The process itself may be in it.
type Roster interface {
	Peers() []Peer
}

// RosterFunc is a function that serves as a Roster.
type RosterFunc func() []Peer

// Peers implements Roster.
func (f RosterFunc) Peers() []Peer { return f() }

// Caller calls peers; a *link.Node is one.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
}

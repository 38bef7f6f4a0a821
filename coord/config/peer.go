package config

import "context"

// Peer is a process that follows the configuration, and the value of its row in
// the platform's table.
type Peer struct {
	Name    string `json:"name" cbor:"name"` // unique among all processes
	Zone    string `json:"zone" cbor:"zone"`
	Address string `json:"address" cbor:"address"` // of its link.Node
	// Roll is the number of the oldest roll that the process may use to query
	// the writers; 0 if it queries none.
	Roll uint64 `json:"list,omitempty" cbor:"list,omitempty"`
}

// Roster returns the processes that follow the configuration, as far as this
// process knows them. It may include the process itself. It is called
// concurrently.
type Roster interface {
	Peers() []Peer
}

// RosterFunc is an adapter that makes a function a Roster.
type RosterFunc func() []Peer

// Peers implements Roster.
func (f RosterFunc) Peers() []Peer { return f() }

// Caller calls peers; *link.Node implements it. Call sends in to the handler of
// verb at address and decodes the reply into out.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
}

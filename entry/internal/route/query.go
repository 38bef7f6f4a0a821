package route

import "github.com/balsamford/balsamford/coord/wire"

// Query says what a placer is wanted for.
type Query struct {
	Kind  wire.Kind
	Queue string
	Needs wire.Needs
	Zone  string          // only placers of this zone; any if empty
	Tried map[string]bool // placers not to be offered the request again
}

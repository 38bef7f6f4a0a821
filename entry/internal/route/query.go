package route

import "github.com/balsamford/balsamford/coord/wire"

// Query describes the request for which Pick selects a placer.
type Query struct {
	Kind  wire.Kind
	Queue string
	Needs wire.Needs
	Zone  string          // restricts the choice to this zone; any zone if empty
	Tried map[string]bool // names of placers that were already offered the request
}

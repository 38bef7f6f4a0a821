package cell

import "github.com/balsamford/balsamford/coord/wire"

// Row is one endpoint of a Table. Its accessors are valid while the caller
// keeps the table from changing; see Table.
type Row struct {
	name, zone, rack string
	capacity         wire.Needs
	granted          wire.Needs
	reported         wire.Needs
	free             wire.Needs
	reports          uint64 // how many have come
	tasks            int
	leaving          bool
	barred           bool
	probe            bool // at most one task at a time
	index            int
	spare            wire.Needs // what the row adds to the table's spare room
}

// Name returns the endpoint's name.
func (r *Row) Name() string { return r.name }

// Zone returns the availability zone that the endpoint is in.
func (r *Row) Zone() string { return r.zone }

// Rack returns the rack or group that the endpoint is in.
func (r *Row) Rack() string { return r.rack }

// Capacity returns what the endpoint declares.
func (r *Row) Capacity() wire.Needs { return r.capacity }

// Granted returns the sum of what tasks were given, starts with an unknown
// outcome included.
func (r *Row) Granted() wire.Needs { return r.granted }

// Committed returns the larger of granted and reported in each resource.
func (r *Row) Committed() wire.Needs { return r.granted.Max(r.reported) }

// Free returns the capacity less what is committed. It is negative where an
// endpoint reports more than it declares.
func (r *Row) Free() wire.Needs { return r.free }

// Reports returns how many reports of usage have come. A task that was there
// before the last one is part of it.
func (r *Row) Reports() uint64 { return r.reports }

// Tasks returns how many tasks hold room.
func (r *Row) Tasks() int { return r.tasks }

// Open reports whether the endpoint may be given new work.
func (r *Row) Open() bool { return !r.leaving && !r.barred && (!r.probe || r.tasks == 0) }

// Leaving reports whether the endpoint is going away.
func (r *Row) Leaving() bool { return r.leaving }

// Barred reports whether the endpoint is in quarantine.
func (r *Row) Barred() bool { return r.barred }

package alloc

import "github.com/balsamford/balsamford/coord/wire"

// Row is one endpoint of a Table. Like the Table, it is not safe for concurrent
// use: its accessors must not be called while the table changes.
type Row struct {
	name, zone, rack string
	capacity         wire.Needs
	granted          wire.Needs
	reported         wire.Needs
	free             wire.Needs
	reports          uint64 // number of usage reports
	tasks            int    // number of tasks that hold room
	leaving          bool
	quarantined      bool
	probation        bool       // runs at most one task at a time
	index            int        // in Table.rows
	spare            wire.Needs // the row's part of Table.spare
}

// Name returns the endpoint's name.
func (r *Row) Name() string { return r.name }

// Zone returns the availability zone that the endpoint is in.
func (r *Row) Zone() string { return r.zone }

// Rack returns the rack, or group of hosts, that the endpoint is in.
func (r *Row) Rack() string { return r.rack }

// Capacity returns the declared capacity.
func (r *Row) Capacity() wire.Needs { return r.capacity }

// Granted returns the total resources granted to tasks, including tasks whose
// start has an unknown outcome.
func (r *Row) Granted() wire.Needs { return r.granted }

// Committed returns the larger of granted and reported usage for each resource.
func (r *Row) Committed() wire.Needs { return r.granted.Max(r.reported) }

// Free returns the capacity less the committed resources. It is negative for a
// resource of which more is committed than declared.
func (r *Row) Free() wire.Needs { return r.free }

// Reports returns the number of usage reports received. The latest report
// includes the usage of each task that was placed before it.
func (r *Row) Reports() uint64 { return r.reports }

// Tasks returns the number of tasks that hold room.
func (r *Row) Tasks() int { return r.tasks }

// Open reports whether new tasks may be placed on the endpoint.
func (r *Row) Open() bool { return !r.leaving && !r.quarantined && (!r.probation || r.tasks == 0) }

// Leaving reports whether the endpoint is shutting down.
func (r *Row) Leaving() bool { return r.leaving }

// Quarantined reports whether the endpoint is in quarantine.
func (r *Row) Quarantined() bool { return r.quarantined }

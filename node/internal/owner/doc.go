// Package owner elects and runs the owner of a cell: the host that schedules the
// cell's work. An Owner claims ownership through the platform's store when the cell
// has no live owner. It then runs a term, which extends the leases of all executors,
// carries out the decisions of package plan, and records in the store the state that
// must survive the host.
//
// Ownership is a row in the store. The owner rewrites the row with each of its
// writes, on condition that its version hasn't changed; these writes are also its
// heartbeat. The row's epoch is the fencing token of all orders to executors. So an
// owner that was paused can neither write nor start a run once another host has taken
// over. After each write the owner may start runs only for a limited time, the
// authority that is part of the row; other hosts wait at least as long before they
// take over from an owner that doesn't respond.
//
// A successor can't know which runs its predecessor started on executors that don't
// respond. It waits until their leases have expired: the settle time. A closed
// executor is one that gets no new work. Its runs are all recorded, unless it hasn't
// reported to this owner.
package owner

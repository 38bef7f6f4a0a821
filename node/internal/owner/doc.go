// Package owner runs a cell on the host that owns it. An Owner takes ownership
// through the platform's store when the cell has no live owner; while it lasts,
// a term keeps the leases of all executors, carries out what the plan decides,
// and records what must outlive the host.
//
// Ownership is a row of the store that the owner rewrites with each of its
// writes. Its epoch is the fencing token of all orders, so that an owner that
// was paused can neither write nor start anything once another has taken over.
package owner

package sched

import (
	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/coord/wire"
)

// Limit counts the resources of running tasks against the upper limits of their
// teams. Its methods are called with a lock of the scheduler held, so they must
// not block or call the scheduler.
type Limit interface {
	// Exceeded returns the name of a resource for which n exceeds the team's
	// whole limit, and that limit. ok is false if n exceeds no limit.
	Exceeded(team string, n parts.Amount) (name string, limit int64, ok bool)
	// Room reports whether Take would succeed, without counting anything.
	Room(team string, n parts.Amount) bool
	// Take adds n to the team's usage and returns true, or changes nothing and
	// returns false if that would exceed the limit.
	Take(team string, n parts.Amount) bool
	// Give subtracts n from the team's usage.
	Give(team string, n parts.Amount)
	// Adopt adds the usage of tasks that already run, even above the limit.
	Adopt(team string, n parts.Amount)
	// Transfer subtracts the usage of tasks whose endpoint is now owned by another
	// placer, newOwner, or "" if it isn't known. Since the tasks continue to run,
	// their part of the limit doesn't become free here.
	Transfer(team string, n parts.Amount, newOwner string)
}

// unlimited is a Limit that allows everything.
type unlimited struct{}

// Exceeded implements Limit.
func (unlimited) Exceeded(string, parts.Amount) (name string, limit int64, ok bool) {
	return "", 0, false
}

// Room implements Limit.
func (unlimited) Room(string, parts.Amount) bool { return true }

// Take implements Limit.
func (unlimited) Take(string, parts.Amount) bool { return true }

// Give implements Limit.
func (unlimited) Give(string, parts.Amount) {}

// Adopt implements Limit.
func (unlimited) Adopt(string, parts.Amount) {}

// Transfer implements Limit.
func (unlimited) Transfer(string, parts.Amount, string) {}

// limitAmount returns the amount of a limit that n tasks use.
func limitAmount(n int, needs wire.Needs) parts.Amount {
	sum := needs.Scale(int64(n))
	return parts.Amount{
		parts.Tasks: int64(n), parts.CPU: sum.CPU, parts.Mem: sum.Mem, parts.Accel: sum.Accel, parts.Slots: sum.Slots,
	}
}

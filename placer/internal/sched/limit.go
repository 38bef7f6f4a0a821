package sched

import (
	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/coord/wire"
)

// Limit counts what the running tasks of teams take against their upper limits.
// Its
// methods are called with a lock of the scheduler held, so they must not
// block or call the scheduler.
type Limit interface {
	// Exceeded returns the name of a resource of which the whole limit is less
	// than n, and how much that is; ok is false if there is none.
	Exceeded(team string, n parts.Amount) (name string, limit int64, ok bool)
	// Room reports what Take would, and counts nothing.
	Room(team string, n parts.Amount) bool
	// Take counts n more and reports true, or changes nothing and reports false
	// if the limit forbids it.
	Take(team string, n parts.Amount) bool
	// Give counts n less.
	Give(team string, n parts.Amount)
	// Adopt counts what tasks that already run take, even above the limit.
	Adopt(team string, n parts.Amount)
	// Pass counts what tasks take no longer because their endpoint went to another
	// owner, the heir, where they run on. What they took is not free here.
	// The heir is empty if it isn't known.
	Pass(team string, n parts.Amount, heir string)
}

// unlimited is the Limit of a scheduler without one.
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

// Pass implements Limit.
func (unlimited) Pass(string, parts.Amount, string) {}

// counted returns what n tasks take of a limit.
func counted(n int, needs wire.Needs) parts.Amount {
	sum := needs.Scale(int64(n))
	return parts.Amount{
		parts.Tasks: int64(n), parts.CPU: sum.CPU, parts.Mem: sum.Mem, parts.Accel: sum.Accel, parts.Slots: sum.Slots,
	}
}

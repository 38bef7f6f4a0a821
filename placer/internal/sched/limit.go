package sched

// Limit counts the running tasks of teams against their upper limits. Its
// methods are called with a lock of the scheduler held, so they must not
// block or call the scheduler.
type Limit interface {
	// Take counts tasks more and reports true, or changes nothing and
	// reports false if the limit forbids it.
	Take(team string, tasks int64) bool
	// Give counts tasks less.
	Give(team string, tasks int64)
	// Adopt counts tasks that already run, even above the limit.
	Adopt(team string, tasks int64)
	// Pass counts tasks no longer because their endpoint went to another
	// owner, the heir, where they run on. What they took is not free here.
	// The heir is empty if it isn't known.
	Pass(team string, tasks int64, heir string)
}

// unlimited is the Limit of a scheduler without one.
type unlimited struct{}

// Take implements Limit.
func (unlimited) Take(string, int64) bool { return true }

// Give implements Limit.
func (unlimited) Give(string, int64) {}

// Adopt implements Limit.
func (unlimited) Adopt(string, int64) {}

// Pass implements Limit.
func (unlimited) Pass(string, int64, string) {}

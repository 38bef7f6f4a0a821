package queue

import (
	"strconv"
	"strings"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// attemptBits is the number of low bits in which a quick task's attempt counts
// the starts that this placer tried. The high bits are the entry's attempt.
const attemptBits = 8

// taskKey identifies a task in the scheduler.
type taskKey struct {
	id   string
	task int
}

// placement is the endpoint at which the current attempt of a task has its
// capacity reserved.
type placement struct {
	endpoint string
	attempt  uint32
}

// attemptKey identifies one attempt of a task at one endpoint.
type attemptKey struct {
	taskKey
	placement
}

// QuickID returns the ID under which the scheduler knows an attempt of a quick
// request. Each attempt has its own ID, because the capacity of an attempt whose
// answer was lost stays reserved while the next one is tried.
func QuickID(id string, attempt uint32) string {
	return id + "#" + strconv.FormatUint(uint64(attempt), 10)
}

// FirstAttempt returns the attempt number of the first start for an entry's
// attempt. Later starts count up from it.
func FirstAttempt(attempt uint32) uint32 { return attempt << attemptBits }

// TaskID returns the ID of a task at its endpoint.
func TaskID(id string, task int) string { return id + "/" + strconv.Itoa(task) }

// SplitTaskID splits the ID of a task at its endpoint into the request's ID and
// the task's number. It returns false for an ID that TaskID can't have returned.
func SplitTaskID(name string) (string, int, bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(name[i+1:])
	return name[:i], n, err == nil && n >= 0
}

// keyOf returns the key of a task reported by an endpoint. It returns false if
// the task's ID isn't one of a placer.
func keyOf(t *point.Task) (taskKey, bool) {
	id, n, ok := SplitTaskID(t.ID)
	if t.Kind == wire.Quick {
		id = QuickID(id, t.Attempt>>attemptBits)
	}
	return taskKey{id, n}, ok
}

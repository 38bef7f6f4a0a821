package desk

import (
	"strconv"
	"strings"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// attemptBits is how many low bits of a quick task's attempt count the starts
// that this placer tried; the others are the entry's attempt.
const attemptBits = 8

// key names a task in the scheduler.
type key struct {
	id   string
	task int
}

// spot is where the present attempt of a task has its room.
type spot struct {
	endpoint string
	attempt  uint32
}

// spotKey names one attempt of a task at one endpoint.
type spotKey struct {
	key
	spot
}

// QuickID returns the name under which an attempt of a quick request is known
// to the scheduler. Attempts differ in name, because the room of one whose
// answer was lost stays taken while another is tried.
func QuickID(id string, attempt uint32) string {
	return id + "#" + strconv.FormatUint(uint64(attempt), 10)
}

// FirstAttempt returns the attempt under which the first start for an entry's
// attempt goes to an endpoint; later starts count up.
func FirstAttempt(attempt uint32) uint32 { return attempt << attemptBits }

// TaskID returns the name of a task at its endpoint.
func TaskID(id string, task int) string { return id + "/" + strconv.Itoa(task) }

// SplitTaskID returns the request's id and the task's number. It reports
// false for a name that no placer gave.
func SplitTaskID(name string) (string, int, bool) {
	i := strings.LastIndexByte(name, '/')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(name[i+1:])
	return name[:i], n, err == nil && n >= 0
}

// keyOf returns the key of a task found at an endpoint.
func keyOf(t *point.Task) (key, bool) {
	id, n, ok := SplitTaskID(t.ID)
	if t.Kind == wire.Quick {
		id = QuickID(id, t.Attempt>>attemptBits)
	}
	return key{id, n}, ok
}

// Package exec runs quick requests: it queues one, sends its start to the
// executor that was decided on and passes the answer on as it comes. Whatever
// fails, the caller is told no more than is known.
package exec

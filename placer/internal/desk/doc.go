// Package desk stands between the scheduler and those that act on its
// decisions. It tells the scheduler what happens to endpoints and tasks, and
// hands each decision, stamped with the epoch of the endpoint's ownership, to
// the request or job that waits for it.
package desk

package main

import (
	"testing"
	"time"
)

// unreadyTime bounds how long hosts stay ready after they have lost the store. The balancer
// checks once a second and needs two misses.
const unreadyTime = 2500 * time.Millisecond

// Hosts of a zone that was cut off from the store stayed ready for four seconds and refused all
// submissions, while hosts of other zones could have served them.
func TestHostsWithoutStoreBecomeUnready(t *testing.T) {
	r := newRig(t, 2)
	ready := func(want bool) func() bool {
		return func() bool { return r.isReady(r.hosts[0]) == want && r.isReady(r.hosts[1]) == want }
	}
	r.await("all hosts to be ready", startTime, ready(true))
	r.store.SetDown(true)
	r.await("all hosts to be unready", unreadyTime, ready(false))
	r.store.SetDown(false)
	r.await("all hosts to be ready again", startTime, ready(true))
}

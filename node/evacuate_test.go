package main

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/platform"
	"github.com/balsamford/balsamford/platform/fake"
)

// The owner is killed right after an operator has written the row of a zone. Its successor must
// send no start to the zone, while work goes on elsewhere. Rows for a zone that doesn't exist, in
// another format or without a zone stop nothing. Once the row is deleted, work returns.
func TestSuccessorStartsWorkInEvacuatedZone(t *testing.T) {
	const evacuated = "y"
	is := is.New(t)
	r := newRig(t, 3)
	r.await("an owner", startTime, func() bool { return r.owner() != nil })
	var epoch atomic.Int64 // of the owner that sent the last start in the zone
	for _, e := range r.executors[:executorCount/2] {
		e.SetZone(evacuated)
		e.OnStart(func(_ string, token int64) { epoch.Store(token >> 32) }) // The epoch is the upper part of a token.
		r.store.Put("servers", e.ID(), e.Entry(fake.Service, r.serve(e)))
	}
	for key, value := range map[string]string{"evacuate/": "{}", "evacuate/nowhere": "{}", "evacuate/z": "z", "other": "{"} {
		r.store.Put(platform.ConfigTable, key, []byte(value))
	}
	n := 0
	submit := func() {
		for _, h := range r.hosts {
			n++
			r.call(h, http.MethodPost, fake.Queue+id(n), fake.Key, twoSteps) // A host may be down.
		}
	}
	r.await("starts in the zone", doneTime, func() bool { submit(); return epoch.Load() > 0 })

	r.store.Put(platform.ConfigTable, platform.EvacuationKey(evacuated), []byte("{}"))
	owner, last := r.owner(), epoch.Load()
	is.NoErr(owner.command.Process.Kill())
	_ = owner.command.Wait() // It was killed.
	r.await("a successor", startTime, func() bool { submit(); return r.owner() != owner })
	starts := r.judge.Starts()
	for began := time.Now(); time.Since(began) < 3*time.Second; time.Sleep(20 * time.Millisecond) {
		submit()
	}
	is.True(r.judge.Starts() > starts+100) // Work goes on in the other zone.
	is.Equal(epoch.Load(), last)

	r.store.Put(platform.ConfigTable, platform.EvacuationKey(evacuated), nil)
	r.await("work to return to the zone", 2*time.Second, func() bool { submit(); return epoch.Load() > last })
	is.Equal(r.judge.Violations(), nil)
}

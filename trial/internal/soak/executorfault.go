package soak

import (
	"time"

	"golang.org/x/sync/errgroup"
)

// stallRestart stalls the connections to an executor, which starts again meanwhile, and stalls them
// once more soon after. Calls that were meant for its earlier life reach the next one.
func (in *injector) stallRestart() func() {
	e := in.randomExecutor()
	before, after, between, second := in.randomDuration(10, 1500), in.randomDuration(10, 600), in.randomDuration(100, 2500), in.randomDuration(300, 4000)
	return func() {
		in.harness.history.recordFault("connections to executor %s stall for %v, it is restarted, and they stall for %v and, %v later, for %v", e.id, before, after, between, second)
		e.calm.disturb(func() {
			e.proxy.SetMode(Stall)
			time.Sleep(before)
			e.fake.Restart()
			time.Sleep(after)
			e.proxy.SetMode(Pass)
			in.harness.register(e)
			time.Sleep(between)
			e.proxy.SetMode(Stall)
			time.Sleep(second)
			e.proxy.SetMode(Pass)
		})
	}
}

// isolateExecutors takes the store away from some executors, so that their entries expire, and
// kills or pauses a host meanwhile.
func (in *injector) isolateExecutors() func() {
	var isolated []*executor
	for _, e := range in.harness.executors {
		if in.rand.IntN(3) == 0 {
			isolated = append(isolated, e)
		}
	}
	h, killed, until, dark, rest := in.randomHost(), in.rand.IntN(2) == 0, in.randomDuration(0, 800), in.randomDuration(100, 2500), in.randomDuration(500, 3000)
	return func() {
		in.harness.history.recordFault("the entries of %d executors expire; %v later %s is away for %v (killed: %t)", len(isolated), until, h.name, dark, killed)
		for _, e := range isolated {
			e.expired.Store(true)
			in.harness.store.Put("servers", e.id, nil)
		}
		var g errgroup.Group
		g.Go(func() error {
			time.Sleep(until)
			if killed {
				in.kill(h, dark)
				return nil
			}
			in.recordError("pause", h.pause(dark))
			return nil
		})
		time.Sleep(until + rest)
		for _, e := range isolated {
			e.expired.Store(false)
			in.harness.register(e)
		}
		_ = g.Wait() // Its functions return no errors.
	}
}

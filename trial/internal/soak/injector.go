package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
)

// injector injects random faults, some of them concurrently.
type injector struct {
	harness     *harness
	rand        *rand.Rand
	kinds       []faultKind
	least, most int // milliseconds from one fault to the next
}

// newInjectors returns the injectors of a soak. Each draws its own random numbers, so that new
// kinds of faults leave those of a seed as they were.
func newInjectors(hs *harness, seed uint64) []*injector {
	return []*injector{
		{harness: hs, rand: newRand(seed, 0), kinds: faultKinds(), least: 100, most: 1200},
		{harness: hs, rand: newRand(seed, 1), kinds: []faultKind{(*injector).expireEntries}, least: 2000, most: 9000},
		{harness: hs, rand: newRand(seed, 2), kinds: []faultKind{(*injector).stormConfig}, least: 2000, most: 9000},
		{harness: hs, rand: newRand(seed, 3), kinds: []faultKind{(*injector).stallRestart}, least: 500, most: 4000},
		{harness: hs, rand: newRand(seed, 4), kinds: []faultKind{(*injector).isolateExecutors}, least: 2000, most: 9000},
		{harness: hs, rand: newRand(seed, 5), kinds: []faultKind{(*injector).evacuateZone}, least: 2000, most: 9000},
		{harness: hs, rand: newRand(seed, 6), kinds: []faultKind{(*injector).restartInTurn}, least: 7000, most: 12000},
	}
}

func newRand(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream)) //nolint:gosec // A seed must always give the same numbers.
}

// faultKind draws the parameters of a fault and returns a function that injects the
// fault and ends it. All random numbers are drawn before the fault is injected, so
// that the faults of a seed don't depend on how long they take.
type faultKind func(in *injector) func()

// faultKinds returns the kinds of faults that come most often. A kind that is listed twice is
// twice as likely.
func faultKinds() []faultKind {
	return []faultKind{
		(*injector).killHost, (*injector).pauseHost, (*injector).restartHost, (*injector).reloadHost, (*injector).killAll,
		(*injector).disruptStoreLink, (*injector).disruptStoreLink, (*injector).disruptExecutorLink, (*injector).disruptExecutorLink,
		(*injector).stopStore, (*injector).slowStore, (*injector).loseStoreResponses, (*injector).delayStoreWrites, (*injector).dropStoreHistory,
		(*injector).restartExecutor, (*injector).failTasks, (*injector).delayOrders, (*injector).publishConfig, (*injector).publishConfig,
	}
}

// run injects faults until ctx ends and waits for those in progress.
func (in *injector) run(ctx context.Context) error {
	var g errgroup.Group
	for ctx.Err() == nil {
		f := in.kinds[in.rand.IntN(len(in.kinds))](in)
		pause := in.randomDuration(in.least, in.most)
		g.Go(func() error { f(); return nil })
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return g.Wait()
}

// randomDuration returns a random duration between least and most milliseconds.
func (in *injector) randomDuration(least, most int) time.Duration {
	return time.Duration(least+in.rand.IntN(most-least)) * time.Millisecond
}

// randomHost returns a random host.
func (in *injector) randomHost() *host { return in.harness.hosts[in.rand.IntN(len(in.harness.hosts))] }

// randomExecutor returns a random executor.
func (in *injector) randomExecutor() *executor {
	return in.harness.executors[in.rand.IntN(len(in.harness.executors))]
}

// recordError records a failure to start or signal a process among the faults, since
// it isn't a violation by the process.
func (in *injector) recordError(what string, err error) {
	if err != nil {
		in.harness.history.recordFault("%s: %v", what, err)
	}
}

// randomMode returns a random mode other than Pass.
func (in *injector) randomMode() Mode { return Mode(1 + in.rand.IntN(int(DropResponses))) }

// disruptStoreLink sets the proxy between a host and the store to a random mode.
func (in *injector) disruptStoreLink() func() {
	h, mode, d := in.randomHost(), in.randomMode(), in.randomDuration(300, 5000)
	return func() {
		in.harness.history.recordFault("store connections of %s: %v for %v", h.name, mode, d)
		h.calm.disturb(func() {
			h.link.disturb(func() {
				h.storeProxy.SetMode(mode)
				time.Sleep(d)
				h.storeProxy.SetMode(Pass)
			})
		})
	}
}

// disruptExecutorLink sets the proxy in front of an executor to a random mode.
func (in *injector) disruptExecutorLink() func() {
	e, mode, d := in.randomExecutor(), in.randomMode(), in.randomDuration(300, 7000)
	return func() {
		in.harness.history.recordFault("connections to executor %s: %v for %v", e.id, mode, d)
		e.calm.disturb(func() {
			e.proxy.SetMode(mode)
			time.Sleep(d)
			e.proxy.SetMode(Pass)
		})
	}
}

// stopStore makes all calls of the store fail.
func (in *injector) stopStore() func() {
	d := in.randomDuration(300, 4000)
	return func() {
		in.harness.history.recordFault("store is down for %v", d)
		in.harness.storeCalm.disturb(func() {
			in.harness.storeUp.disturb(func() {
				in.harness.store.SetDown(true)
				time.Sleep(d)
				in.harness.store.SetDown(false)
			})
		})
	}
}

// expireEntries stops the store until the entries of some executors have expired, and kills a
// host right before the store is back. The entries are back within two seconds after that.
func (in *injector) expireEntries() func() {
	h, d, dark := in.randomHost(), in.randomDuration(1500, 4500), in.randomDuration(0, 1500)
	late := make(map[*executor]time.Duration)
	for _, e := range in.harness.executors {
		if in.rand.IntN(2) == 0 {
			late[e] = in.randomDuration(0, 2000)
		}
	}
	const beforeReturn = 300 * time.Millisecond
	return func() {
		in.harness.history.recordFault("store is down for %v, and the entries of %d executors expire; %s is killed for %v", d, len(late), h.name, dark)
		var g errgroup.Group
		in.harness.storeCalm.disturb(func() {
			in.harness.storeUp.disturb(func() {
				in.harness.store.SetDown(true)
				time.Sleep(d - beforeReturn)
				for e := range late {
					e.expired.Store(true)
					in.harness.store.Put("servers", e.id, nil)
				}
				g.Go(func() error { in.kill(h, dark); return nil })
				time.Sleep(beforeReturn)
				in.harness.store.SetDown(false)
			})
		})
		for e, wait := range late {
			g.Go(func() error {
				time.Sleep(wait)
				e.expired.Store(false)
				in.harness.register(e)
				return nil
			})
		}
		_ = g.Wait() // Its functions return no errors.
	}
}

// slowStore delays all writes of the store.
func (in *injector) slowStore() func() {
	d, slow := in.randomDuration(500, 4000), in.randomDuration(50, 400)
	return func() {
		in.harness.history.recordFault("store delays writes by %v for %v", slow, d)
		in.harness.storeCalm.disturb(func() {
			in.harness.store.SetSlow(slow)
			time.Sleep(d)
			in.harness.store.SetSlow(0)
		})
	}
}

// loseStoreResponses makes the store drop the responses of writes.
func (in *injector) loseStoreResponses() func() {
	d := in.randomDuration(200, 1500)
	return func() {
		in.harness.history.recordFault("store drops responses for %v", d)
		in.harness.storeCalm.disturb(func() {
			in.harness.store.SetLoseResponses(true)
			time.Sleep(d)
			in.harness.store.SetLoseResponses(false)
		})
	}
}

// delayStoreWrites makes the store execute some writes late, without a response.
func (in *injector) delayStoreWrites() func() {
	d, late := in.randomDuration(500, 4000), in.randomDuration(500, 4000)
	return func() {
		in.harness.history.recordFault("store executes some writes %v late for %v", late, d)
		in.harness.storeCalm.disturb(func() {
			in.harness.store.SetLate(late)
			time.Sleep(d)
			in.harness.store.SetLate(0)
		})
	}
}

// dropStoreHistory makes the store drop its history of changes.
func (in *injector) dropStoreHistory() func() {
	return func() {
		in.harness.history.recordFault("store drops its history")
		in.harness.storeCalm.disturb(in.harness.store.DropHistory)
	}
}

// restartExecutor crashes an executor, which starts again at once.
func (in *injector) restartExecutor() func() {
	e := in.randomExecutor()
	return func() {
		in.harness.history.recordFault("executor %s is restarted", e.id)
		e.fake.Restart()
		in.harness.register(e)
	}
}

// failTasks makes all tasks on an executor fail.
func (in *injector) failTasks() func() {
	e, d := in.randomExecutor(), in.randomDuration(500, 4000)
	return func() {
		in.harness.history.recordFault("executor %s fails all tasks for %v", e.id, d)
		e.fake.SetFailing(true)
		time.Sleep(d)
		e.fake.SetFailing(false)
	}
}

// delayOrders makes an executor execute some orders late, without a response.
func (in *injector) delayOrders() func() {
	e, d, late := in.randomExecutor(), in.randomDuration(500, 4000), in.randomDuration(300, 3000)
	return func() {
		in.harness.history.recordFault("executor %s executes some orders %v late for %v", e.id, late, d)
		e.calm.disturb(func() {
			e.fake.SetLate(late)
			time.Sleep(d)
			e.fake.SetLate(0)
			time.Sleep(late) // The last orders are executed.
		})
	}
}

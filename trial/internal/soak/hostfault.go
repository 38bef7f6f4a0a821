package soak

import (
	"time"

	"golang.org/x/sync/errgroup"
)

// killHost kills a process and starts it again after a pause.
func (in *injector) killHost() func() {
	h, pause := in.randomHost(), in.randomDuration(0, 1500)
	return func() {
		in.harness.history.recordFault("%s is killed for %v", h.name, pause)
		in.kill(h, pause)
	}
}

// kill kills a process and starts it again after a pause.
func (in *injector) kill(h *host, pause time.Duration) {
	fault, err := h.kill(pause)
	if fault != "" {
		in.harness.history.recordViolation("%s: %s", h.name, fault)
	}
	in.recordError("start", err)
}

// pauseHost suspends a process for a while.
func (in *injector) pauseHost() func() {
	h, d := in.randomHost(), in.randomDuration(200, 4000)
	return func() {
		in.harness.history.recordFault("%s is paused for %v", h.name, d)
		in.recordError("pause", h.pause(d))
	}
}

// restartHost stops a process with SIGTERM, which must be graceful, and starts it
// again.
func (in *injector) restartHost() func() {
	h := in.randomHost()
	return func() {
		in.harness.history.recordFault("%s is restarted", h.name)
		fault, err := h.restart()
		if fault != "" {
			in.harness.history.recordViolation("%s: %s", h.name, fault)
		}
		in.recordError("start", err)
	}
}

// stopInterval is the time between two stops of hosts that are stopped in turn.
const stopInterval = 1300 * time.Millisecond

// restartInTurn does the same with all hosts, one after the other.
func (in *injector) restartInTurn() func() {
	delay, order := in.randomDuration(500, 3500), in.rand.Perm(len(in.harness.hosts))
	return func() {
		time.Sleep(delay)
		var g errgroup.Group
		for _, i := range order {
			h := in.harness.hosts[i]
			in.harness.history.recordFault("%s is restarted, one of all", h.name)
			g.Go(func() error {
				fault, err := h.restart()
				if fault != "" {
					in.harness.history.recordViolation("%s: %s", h.name, fault)
				}
				in.recordError("start", err)
				return nil
			})
			time.Sleep(stopInterval)
		}
		_ = g.Wait() // Its functions return no errors.
	}
}

// reloadHost changes the settings of a process, with or without a signal.
func (in *injector) reloadHost() func() {
	h, signal := in.randomHost(), in.rand.IntN(2) == 0
	return func() {
		in.harness.history.recordFault("settings of %s change", h.name)
		in.recordError("reload", h.reload(signal))
	}
}

// killAll kills all processes and starts them again after a pause.
func (in *injector) killAll() func() {
	pause := in.randomDuration(0, 1000)
	return func() {
		in.harness.history.recordFault("all hosts are killed for %v", pause)
		var g errgroup.Group
		for _, h := range in.harness.hosts {
			g.Go(func() error { in.kill(h, pause); return nil })
		}
		_ = g.Wait() // Its functions return no errors.
	}
}

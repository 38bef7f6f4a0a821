package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/platform/fake"
)

// Settings are the parameters of a soak.
type Settings struct {
	Binary    string        // path of the program node
	Dir       string        // directory for settings files and logs
	Seed      uint64        // of the faults and the load
	FaultTime time.Duration // how long faults are injected
	Hosts     int           // number of processes
	Executors int           // number of fake executors
	Clients   int           // number of clients
	Ports     *ports        // for the processes; shared by soaks that run at the same time
}

// Report is the result of a soak.
type Report struct {
	Accepted  int      // accepted jobs
	Rejected  int      // jobs that were rejected for the load
	Starts    int      // started runs
	Handovers int      // times that a host took the cell over with its last owner's state
	Dropped   int      // states of the cell that a host received and didn't use
	Faults    []string // injected, each with its time
	// Evacuation is the longest time from the acknowledgement of an evacuation until a start in
	// the zone that faults don't excuse, 0 without one.
	Evacuation time.Duration
	Violations []string // of the scheduler's guarantees
}

const (
	// startTimeout is the maximum time until a host is ready.
	startTimeout = 30 * time.Second
	// endTimeout is the maximum time from the last fault until all accepted jobs have
	// ended. It covers two takeovers that wait for leases to lapse, and the work.
	endTimeout = 45 * time.Second
	// probePeriod is the interval at which the hosts' configurations are probed.
	probePeriod = 300 * time.Millisecond
	// heartbeatPeriod is the interval at which executors renew their entries.
	heartbeatPeriod = time.Second
	// configApplyTime is the maximum time until a new configuration is in force on a host
	// that has been calm, with the store, for stabilityTime. Other hosts may have faults.
	configApplyTime = 2 * time.Second
	stabilityTime   = 3 * time.Second
	// applyTimeout is the maximum time until a new configuration is in force on all
	// hosts while there are no faults.
	applyTimeout = 5 * time.Second
)

// Run runs one soak. The error reports that the soak itself failed, and is a
// *StartError if a host didn't become ready; violations are in the Report.
func Run(ctx context.Context, s Settings) (*Report, error) {
	hs, err := newHarness(&s)
	if err != nil {
		hs.close()
		return nil, err
	}
	defer hs.close()
	probe := http.Client{Timeout: time.Second}
	for _, h := range hs.hosts {
		if !waitUntil(startTimeout, func() bool { return h.isReady(&probe) }) {
			return nil, &StartError{Host: h.name, Log: h.logPath}
		}
	}
	hs.runLoad(ctx, &s)
	hs.verify(&probe)
	for _, h := range hs.hosts {
		if fault := h.shutdown(); fault != "" {
			hs.history.recordViolation("%s at the final shutdown: %s", h.name, fault)
		}
	}
	handovers, dropped := 0, 0
	for _, h := range hs.hosts {
		handovers += h.logged("state taken over")
		dropped += h.logged("state dropped")
	}
	return &Report{
		Accepted: len(hs.history.acceptedJobs()), Rejected: int(hs.rejected.Load()), Starts: hs.checker.Starts(), Handovers: handovers, Dropped: dropped, Faults: hs.history.faults, Evacuation: hs.evacuations.longestStart(), Violations: append(hs.history.violations, hs.checker.Violations()...),
	}, nil
}

// runLoad runs the clients and injects faults for s.FaultTime, then ends all faults.
func (hs *harness) runLoad(ctx context.Context, s *Settings) {
	ctx, cancel := context.WithTimeout(ctx, s.FaultTime)
	defer cancel()
	var g errgroup.Group
	for i := range s.Clients {
		c := newClient(hs, i)
		g.Go(func() error { c.run(ctx); return nil })
	}
	g.Go(func() error { hs.every(ctx, heartbeatPeriod, hs.heartbeat); return nil })
	flooder := newClient(hs, s.Clients+1)
	g.Go(func() error { flooder.flood(ctx); return nil })
	prober := newClient(hs, s.Clients)
	g.Go(func() error { hs.every(ctx, probePeriod, func() { prober.probeConfigs() }); return nil })
	for _, in := range newInjectors(hs, s.Seed) {
		g.Go(func() error { return in.run(ctx) })
	}
	_ = g.Wait() // Its goroutines return no errors.
	hs.endFaults()
}

// every calls f at intervals of period until ctx ends.
func (hs *harness) every(ctx context.Context, period time.Duration, f func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(period):
			f()
		}
	}
}

// heartbeat renews the entries of all executors.
func (hs *harness) heartbeat() {
	for _, e := range hs.executors {
		hs.register(e)
	}
}

// probeConfigs finds out which version of the configuration each host has, records it and
// checks that it isn't too old. It queries a job that doesn't exist with the API key of each
// of the last versions: the host responds with status 410 if it accepts the key, and with
// 401 if it doesn't.
func (c *client) probeConfigs() {
	hs := c.harness
	newest := hs.newestConfig()
	rec := &jobRecord{path: fake.Queue, job: &fake.Job{ID: "ffffffffffffffff"}}
	for _, h := range hs.hosts {
		incarnation := h.incarnation()
		for v := newest; v > max(0, newest-3); v-- {
			sentAt := time.Now()
			code, _ := c.call(h, http.MethodGet, rec, configKey(v))
			if code == http.StatusGone && incarnation == h.incarnation() {
				hs.history.observeConfig(h.name, incarnation, v)
			}
			refused := code == http.StatusUnauthorized && v == hs.newestConfig()
			if refused || code == http.StatusGone {
				c.checkConfigAge(h, sentAt, v, refused)
			}
			if code == http.StatusGone {
				break
			}
		}
	}
}

// checkConfigAge checks that a host was allowed to refuse the key of version, the newest one,
// or else to accept it, when the request was sent.
func (c *client) checkConfigAge(h *host, sentAt time.Time, version int, refused bool) {
	hs := c.harness
	required := hs.requiredConfig(sentAt)
	if version > required || version == required && !refused {
		return
	}
	if h.calm.atLeast(stabilityTime, sentAt) && hs.storeCalm.atLeast(stabilityTime, sentAt) {
		hs.history.recordViolation("%s, key of configuration %d refused: %t, %v or longer after configuration %d was stored", h.name, version, refused, configApplyTime, required)
	}
}

// verify waits until the system has recovered from the faults and checks that all
// hosts are ready, all accepted jobs have ended correctly, and the newest
// configuration is in force.
func (hs *harness) verify(probe *http.Client) {
	faultsEnded := time.Now()
	c := newClient(hs, -1)
	for _, h := range hs.hosts {
		if !waitUntil(startTimeout, func() bool { return h.isReady(probe) }) {
			hs.history.recordViolation("%s isn't ready %v after the last fault", h.name, startTimeout)
		}
	}
	accepted := hs.history.acceptedJobs()
	for _, rec := range accepted {
		if rec.job.Lasting && !rec.cancelled {
			waitUntil(endTimeout, func() bool { c.cancel(rec); return rec.cancelled })
		}
	}
	unfinished := accepted
	waitUntil(endTimeout, func() bool {
		hs.heartbeat()
		var remaining []*jobRecord
		for _, rec := range unfinished {
			if state := c.queryState(rec); state == "queued" || state == "running" || state == "" {
				remaining = append(remaining, rec)
			}
		}
		unfinished = remaining
		return len(unfinished) == 0
	})
	for _, rec := range unfinished {
		hs.history.recordViolation("job %s hasn't ended %v after the last fault: %s", rec.job.ID, time.Since(faultsEnded).Round(time.Second), c.queryState(rec))
	}
	for _, rec := range accepted {
		hs.checkOutcome(rec)
	}
	if !waitUntil(applyTimeout, func() bool { return c.allHaveConfig(hs.newestConfig()) }) {
		hs.history.recordViolation("configuration %d isn't in force on all hosts %v after the last fault", hs.newestConfig(), time.Since(faultsEnded).Round(time.Second))
	}
}

// allHaveConfig reports whether all hosts have the given version of the configuration,
// which it finds out as probeConfigs does.
func (c *client) allHaveConfig(version int) bool {
	rec := &jobRecord{path: fake.Queue, job: &fake.Job{ID: "ffffffffffffffff"}}
	for _, h := range c.harness.hosts {
		if code, _ := c.call(h, http.MethodGet, rec, configKey(version)); code != http.StatusGone {
			return false
		}
	}
	return true
}

// checkOutcome checks that the final state of a job has a cause: done without failing
// tasks, failed after all attempts of a task, or cancelled on request.
func (hs *harness) checkOutcome(rec *jobRecord) {
	switch {
	case rec.finalState == "", rec.cancelRequested:
	case rec.finalState == "cancelled":
		hs.history.recordViolation("job %s is shown as cancelled, but its cancellation wasn't requested", rec.job.ID)
	case rec.finalState == "failed" && !rec.fails && !hs.checker.HasFailed(rec.job.ID):
		hs.history.recordViolation("job %s is shown as failed, but no task of it has used up its attempts", rec.job.ID)
	case rec.finalState == "done" && rec.fails:
		hs.history.recordViolation("job %s is shown as done, but its tasks always fail", rec.job.ID)
	}
}

// StartError reports a host that didn't become ready.
type StartError struct {
	Host string // name
	Log  string // path of its log
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("host %s didn't become ready; its log is %s", e.Host, e.Log)
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/platform/fake"
)

// Settings of a soak.
type Settings struct {
	Binary    string // the program node
	Dir       string // of settings and logs
	Seed      uint64
	Time      time.Duration // how long faults are made
	Hosts     int
	Executors int
	Clients   int
}

// Report is what a soak saw.
type Report struct {
	Accepted int // jobs
	Starts   int // runs of tasks
	Events   []string
	Broken   []string // promises
}

const (
	// startTime bounds how long the hosts may take until they are ready.
	startTime = 30 * time.Second
	// endTime bounds how long after the last fault all accepted jobs have ended: two
	// takeovers that wait for leases, and the work.
	endTime = 45 * time.Second
	// probePeriod is how often hosts are asked which configuration they have.
	probePeriod = 300 * time.Millisecond
	// heartbeat is how often executors renew their entries.
	heartbeat = time.Second
	// applyTime is how long after a change a configuration has to be in force on hosts
	// without faults.
	applyTime = 5 * time.Second
)

// Run makes one soak. The error is of the soak itself; broken promises are in the
// report.
func Run(ctx context.Context, s Settings) (*Report, error) {
	r, err := newRig(&s)
	if err != nil {
		r.close()
		return nil, err
	}
	defer r.close()
	probe := http.Client{Timeout: time.Second}
	for _, h := range r.hosts {
		if !await(startTime, func() bool { return h.isReady(&probe) }) {
			return nil, &StartError{Host: h.name, Log: h.log}
		}
	}
	r.play(ctx, &s)
	r.settle(&probe)
	for _, h := range r.hosts {
		if fault := h.end(); fault != "" {
			r.ledger.fault("%s at the end: %s", h.name, fault)
		}
	}
	return &Report{
		Accepted: len(r.ledger.accepted()), Starts: r.judge.Starts(), Events: r.ledger.events, Broken: append(r.ledger.broken, r.judge.Faults()...),
	}, nil
}

// play runs load and faults for the time of the soak.
func (r *rig) play(ctx context.Context, s *Settings) {
	ctx, cancel := context.WithTimeout(ctx, s.Time)
	defer cancel()
	var g errgroup.Group
	for i := range s.Clients {
		c := newClient(r, i)
		g.Go(func() error { c.run(ctx); return nil })
	}
	g.Go(func() error { r.every(ctx, heartbeat, r.beat); return nil })
	prober := newClient(r, s.Clients)
	g.Go(func() error { r.every(ctx, probePeriod, func() { prober.configs() }); return nil })
	m := &maker{rig: r, rand: rand.New(rand.NewPCG(s.Seed, 0))} //nolint:gosec // Seeds have to repeat.
	g.Go(func() error { return m.run(ctx) })
	_ = g.Wait() // It never fails.
	r.heal()
}

// every calls f again and again until ctx ends.
func (r *rig) every(ctx context.Context, period time.Duration, f func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(period):
			f()
		}
	}
}

// beat renews the executors' entries.
func (r *rig) beat() {
	for _, e := range r.executors {
		r.register(e)
	}
}

// configs asks each host by the keys of the last versions which one it has.
func (c *client) configs() {
	newest := c.rig.newest()
	e := &entry{path: fake.Queue, job: &fake.Job{ID: "ffffffffffffffff"}}
	for _, h := range c.rig.hosts {
		life := h.incarnation()
		for v := newest; v > max(0, newest-3); v-- {
			code, _ := c.call(h, http.MethodGet, e, versionKey(v))
			if code == http.StatusGone && life == h.incarnation() {
				c.rig.ledger.config(h.name, life, v)
				break
			}
		}
	}
}

// settle waits until all is well again, and looks whether all that was accepted has
// ended as it should.
func (r *rig) settle(probe *http.Client) {
	healed := time.Now()
	c := newClient(r, -1)
	for _, h := range r.hosts {
		if !await(startTime, func() bool { return h.isReady(probe) }) {
			r.ledger.fault("%s isn't ready %v after the last fault", h.name, startTime)
		}
	}
	entries := r.ledger.accepted()
	for _, e := range entries {
		if e.job.Lasting && !e.cancelled {
			await(endTime, func() bool { c.cancel(e); return e.cancelled })
		}
	}
	open := entries
	await(endTime, func() bool {
		r.beat()
		var rest []*entry
		for _, e := range open {
			if state := c.look(e); state == "queued" || state == "running" || state == "" {
				rest = append(rest, e)
			}
		}
		open = rest
		return len(open) == 0
	})
	for _, e := range open {
		r.ledger.fault("job %s hasn't ended %v after the last fault: %s", e.job.ID, time.Since(healed).Round(time.Second), c.look(e))
	}
	for _, e := range entries {
		r.judgeEnd(e)
	}
	if !await(applyTime, func() bool { return c.all(r.newest()) }) {
		r.ledger.fault("configuration %d isn't in force everywhere %v after the last fault", r.newest(), time.Since(healed).Round(time.Second))
	}
}

// all reports whether each host has a version of the configuration.
func (c *client) all(version int) bool {
	e := &entry{path: fake.Queue, job: &fake.Job{ID: "ffffffffffffffff"}}
	for _, h := range c.rig.hosts {
		if code, _ := c.call(h, http.MethodGet, e, versionKey(version)); code != http.StatusGone {
			return false
		}
	}
	return true
}

// judgeEnd looks at how a job has ended.
func (r *rig) judgeEnd(e *entry) {
	switch {
	case e.final == "", e.asked:
	case e.final == "cancelled":
		r.ledger.fault("job %s is cancelled, and nobody asked for it", e.job.ID)
	case e.final == "failed" && !e.fails && !r.judge.HasFailed(e.job.ID):
		r.ledger.fault("job %s is shown as failed, and no task of it failed as often as it may", e.job.ID)
	case e.final == "done" && e.fails:
		r.ledger.fault("job %s is shown as done, and it fails", e.job.ID)
	}
}

// StartError reports a host that didn't become ready.
type StartError struct {
	Host string
	Log  string // file
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("%s isn't ready; its log is %s", e.Host, e.Log)
}

package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamford/balsamford/platform/fake"
)

// harness holds the processes under test and the fake platform of a soak.
type harness struct {
	seed      uint64
	store     *fake.Store
	adviser   *fake.Adviser
	checker   *fake.Checker
	history   *history
	hosts     []*host
	executors []*executor
	servers   []*httptest.Server // of the fakes

	storeCalm   calm // faults of the store
	storeUp     calm // those of them in which the store answers nobody
	evacuations *evacuations
	rejected    atomic.Int64 // jobs of floods that were rejected for the load

	mu        sync.Mutex  // guards the fields below
	version   int         // of the newest configuration
	published []time.Time // when each version was stored, from version 1 on
}

// executor is a fake executor and the proxy in front of it.
type executor struct {
	id      string
	zone    string
	fake    *fake.Executor
	proxy   *Proxy
	expired atomic.Bool // its entry has expired and isn't renewed
	calm    calm        // faults that hold up orders to it
}

// slowClockRate is the clock rate of every other executor, relative to real time.
const slowClockRate = 0.98

// newHarness starts the fake platform and the processes. If it fails, the caller has
// to close the returned harness all the same.
func newHarness(s *Settings) (*harness, error) {
	hs := &harness{seed: s.Seed, store: fake.NewStore(), adviser: fake.NewAdviser(), checker: fake.NewChecker(), history: newHistory(), evacuations: newEvacuations()}
	hs.checker.SetLimit(fake.Team, fake.TeamLimit)
	hs.publishConfig()
	storeAddress, adviser := hs.serve(hs.store), hs.serve(hs.adviser)
	for i := range s.Executors {
		e := &executor{id: fmt.Sprintf("i-%d", i), zone: fake.Zone}
		if i%3 == 2 {
			e.zone = otherZone
		}
		e.fake = fake.NewExecutor(e.id, hs.checker)
		e.fake.SetZone(e.zone)
		e.fake.OnStart(func(run string, _ int64) { hs.judgeStart(run, e, time.Now()) })
		e.fake.UseAdviser(hs.adviser)
		if i%2 == 1 {
			e.fake.SetClockRate(slowClockRate)
		}
		var err error
		if e.proxy, err = NewProxy(hs.serve(e.fake)); err != nil {
			return hs, err
		}
		hs.executors = append(hs.executors, e)
		hs.register(e)
	}
	for i := range s.Hosts {
		proxy, err := NewProxy(storeAddress)
		if err != nil {
			return hs, err
		}
		h, err := newHost(fmt.Sprintf("h%d", i), s.Dir, s.Binary, adviser, proxy, s.Ports)
		if err != nil {
			return hs, err
		}
		hs.hosts = append(hs.hosts, h)
		if err := h.launch(); err != nil {
			return hs, err
		}
	}
	return hs, nil
}

// serve serves a fake on the loopback and returns its address.
func (hs *harness) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	hs.servers = append(hs.servers, s)
	return strings.TrimPrefix(s.URL, "http://")
}

// register writes the executor's entry to the store, unless it has expired. Executors do so
// periodically.
func (hs *harness) register(e *executor) {
	if e.expired.Load() {
		return
	}
	hs.store.Put("servers", e.id, e.fake.Entry(fake.Service, e.proxy.Address()))
}

// configKey returns an API key that is valid only in the given version of the
// configuration.
func configKey(version int) string { return fmt.Sprintf("key-of-version-%d", version) }

const (
	// queueNames is the number of names that a queue has in turn.
	queueNames = 3
	// hintPeriod is the number of versions after which a queue has a hint again, for half of
	// them.
	hintPeriod = 4
)

// publishConfig writes the next version of the configuration to the store and returns
// the version. A queue that has jobs gets another name with each version, and a hint comes
// and goes. Executors require tickets as the newest version says.
func (hs *harness) publishConfig() int {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.version++
	name, hinted := fmt.Sprintf("%s-%d", fake.QueueName, hs.version%queueNames), hs.version%hintPeriod < hintPeriod/2
	text := fake.RenamedConfig(hs.version, name, fake.Key, configKey(hs.version))
	if hinted {
		text = fake.HintedConfig(hs.version, name, fake.Key, configKey(hs.version))
	}
	hs.store.Put("op", "config", text)
	hs.adviser.Require(hinted)
	hs.published = append(hs.published, time.Now())
	return hs.version
}

// newestConfig returns the newest published version of the configuration.
func (hs *harness) newestConfig() int {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return hs.version
}

// requiredConfig returns the newest version of the configuration that was stored
// configApplyTime or longer before t, 0 for none.
func (hs *harness) requiredConfig(t time.Time) int {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	v := 0
	for v < len(hs.published) && t.Sub(hs.published[v]) >= configApplyTime {
		v++
	}
	return v
}

// endFaults ends all faults of the fakes and the proxies.
func (hs *harness) endFaults() {
	hs.store.SetDown(false)
	hs.store.SetLoseResponses(false)
	hs.store.SetSlow(0)
	hs.store.SetLate(0)
	for _, h := range hs.hosts {
		h.storeProxy.SetMode(Pass)
	}
	for _, e := range hs.executors {
		e.proxy.SetMode(Pass)
		e.expired.Store(false)
		e.fake.SetFailing(false)
		e.fake.SetLate(0)
	}
}

// waitUntil polls the condition until it holds or the timeout has passed, and reports
// whether it holds.
func waitUntil(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// close kills the processes that still run and closes the proxies and the fakes.
func (hs *harness) close() {
	for _, h := range hs.hosts {
		h.killIfRunning()
		h.storeProxy.Close()
	}
	for _, e := range hs.executors {
		e.proxy.Close()
	}
	for _, s := range hs.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

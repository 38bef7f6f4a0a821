package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/balsamford/balsamford/platform/fake"
)

// rig is the processes and the stand-ins of a soak.
type rig struct {
	seed      uint64
	store     *fake.Store
	judge     *fake.Judge
	ledger    *ledger
	hosts     []*host
	executors []*executor
	servers   []*httptest.Server

	mu      sync.Mutex // guards version
	version int        // of the newest configuration
}

// executor is a stand-in of one and the way to it.
type executor struct {
	id    string
	fake  *fake.Executor
	proxy *Proxy
}

// slowestClock is the rate of the slowest executor's clock.
const slowestClock = 0.98

func newRig(s *Settings) (*rig, error) {
	r := &rig{seed: s.Seed, store: fake.NewStore(), judge: fake.NewJudge(), ledger: newLedger()}
	r.judge.Limit(fake.Team, fake.Limit)
	r.publish()
	storeAddress, hint := r.serve(r.store), r.serve(fake.Adviser{})
	for i := range s.Executors {
		e := &executor{id: fmt.Sprintf("i-%d", i)}
		e.fake = fake.NewExecutor(e.id, r.judge)
		if i%2 == 1 {
			e.fake.SetRate(slowestClock)
		}
		var err error
		if e.proxy, err = NewProxy(r.serve(e.fake)); err != nil {
			return r, err
		}
		r.executors = append(r.executors, e)
		r.register(e)
	}
	for i := range s.Hosts {
		proxy, err := NewProxy(storeAddress)
		if err != nil {
			return r, err
		}
		h, err := newHost(fmt.Sprintf("h%d", i), s.Dir, s.Binary, hint, proxy)
		if err != nil {
			return r, err
		}
		r.hosts = append(r.hosts, h)
		if err := h.begin(); err != nil {
			return r, err
		}
	}
	return r, nil
}

// serve serves a stand-in on the loopback.
func (r *rig) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	r.servers = append(r.servers, s)
	return strings.TrimPrefix(s.URL, "http://")
}

// register writes an executor's entry, as executors do again and again.
func (r *rig) register(e *executor) {
	r.store.Put("servers", e.id, e.fake.Entry(fake.Service, e.proxy.Address()))
}

// versionKey is a key that only one version of the configuration has.
func versionKey(version int) string { return fmt.Sprintf("key-of-version-%d", version) }

// publish writes the next configuration.
func (r *rig) publish() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.store.Put("op", "config", fake.ConfigOf(r.version, fake.Key, versionKey(r.version)))
	return r.version
}

func (r *rig) newest() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// heal ends all faults but those of processes.
func (r *rig) heal() {
	r.store.SetDown(false)
	r.store.SetLose(false)
	r.store.SetSlow(0)
	r.store.SetLate(0)
	for _, h := range r.hosts {
		h.store.Set(Pass)
	}
	for _, e := range r.executors {
		e.proxy.Set(Pass)
		e.fake.SetBroken(false)
		e.fake.SetLate(0)
	}
}

// await waits until a condition holds.
func await(within time.Duration, holds func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// close ends all that the rig has started.
func (r *rig) close() {
	for _, h := range r.hosts {
		h.destroy()
		h.store.Close()
	}
	for _, e := range r.executors {
		e.proxy.Close()
	}
	for _, s := range r.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

package serve

import (
	"sync"

	"github.com/balsamford/balsamford/coord/wire"
)

// fakeConfig is a Config with the teams red and blue, the queue shop, which
// needs a key, and the queue open, which needs none.
type fakeConfig struct {
	mu    sync.Mutex // guards the fields below
	keys  map[string]string
	stale bool
}

func newFakeConfig() *fakeConfig {
	return &fakeConfig{keys: map[string]string{"k1": "red", "k2": "blue"}}
}

// change runs f with the lock held.
func (c *fakeConfig) change(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

func (c *fakeConfig) Team(key string) (string, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if key == "" {
		return "", ""
	}
	if c.stale {
		return "", wire.ReasonStale
	}
	team, ok := c.keys[key]
	if !ok {
		return "", wire.ReasonKey
	}
	return team, ""
}

func (c *fakeConfig) Check(key, queue string, _ wire.Kind) (string, string) {
	if queue == "open" {
		return "", ""
	}
	if queue != "shop" {
		return "", wire.ReasonQueue
	}
	team, reason := c.Team(key)
	if reason == "" && team == "" {
		reason = wire.ReasonKey
	}
	return team, reason
}

func (c *fakeConfig) Version() uint64 { return 1 }

// gate is a link.Gate that drops the traffic of chosen peers.
type gate struct {
	mu  sync.Mutex // guards cut
	cut map[string]bool
}

func (g *gate) Open(peer string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.cut[peer]
}

// cutOff drops the traffic of exactly these peers from now on.
func (g *gate) cutOff(peers ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = make(map[string]bool)
	for _, p := range peers {
		g.cut[p] = true
	}
}

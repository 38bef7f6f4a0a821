package config

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/store"
)

// hostState is what has been observed on one host across its restarts.
type hostState struct {
	honoured uint64 // highest version under which it accepted keys
	applied  uint64 // highest version that the current process applied
}

// TestVersionsNeverGoDown drives hosts through random publishes, partitions,
// outages, lagging objects, late replies and restarts. The versions that a
// process applies must not decrease, nor the versions under which a host
// accepts keys, across restarts too. Once a version is in force everywhere, no
// host may accept keys under an older one.
func TestVersionsNeverGoDown(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := newModel(t)
		r.Repeat(map[string]func(*rapid.T){
			"publish": func(r *rapid.T) { m.publish(r) },
			"refresh": func(r *rapid.T) { m.cell.followers[m.randomHost(r)].refresh(context.Background()) },
			"round":   func(*rapid.T) { m.cell.refreshAll() },
			"restart": func(r *rapid.T) {
				name := m.randomHost(r)
				m.cell.timers.Advance(time.Millisecond)
				m.start(name)
				m.hosts[name].applied = 0
				if rapid.Bool().Draw(r, "refresh") {
					m.cell.followers[name].refresh(context.Background())
				}
			},
			"tell newest": func(r *rapid.T) {
				if n := len(m.heads); n > 0 {
					m.cell.followers[m.randomHost(r)].handleTell(context.Background(), Announcement{Head: m.heads[n-1]})
				}
			},
			"wait": func(r *rapid.T) {
				m.cell.timers.Advance(time.Duration(rapid.SampledFrom([]int{1, 100, 1000, 3000}).Draw(r, "ms")) * time.Millisecond)
			},
			"cut":      func(r *rapid.T) { n := m.randomHost(r); m.cell.cut[n] = !m.cell.cut[n] },
			"platform": func(r *rapid.T) { n := m.randomHost(r); m.cell.noPlatform[n] = !m.cell.noPlatform[n] },
			"faults": func(r *rapid.T) {
				m.cell.platform.SetFaults(store.Faults{
					Down: rapid.IntRange(0, 3).Draw(r, "down") == 0,
					Lag:  time.Duration(rapid.IntRange(0, 2).Draw(r, "lag")) * time.Second,
				})
			},
			"slow answers": func(r *rapid.T) {
				m.cell.replyDelay = time.Duration(rapid.SampledFrom([]int{0, 0, 200, 1500}).Draw(r, "delay")) * time.Millisecond
			},
			"old head": func(r *rapid.T) { m.oldHead(r) },
			"accept":   func(*rapid.T) { m.pollNewest() },
			"":         func(r *rapid.T) { m.check(r) },
		})
	})
}

// versionModel is a cell with the versions seen on its hosts.
type versionModel struct {
	t        *testing.T
	cell     *testCell
	names    []string
	hosts    map[string]*hostState
	heads    []Head
	results  []Result
	waits    map[uint64]*waitState
	accepted uint64
}

func newModel(t *testing.T) *versionModel {
	m := &versionModel{t: t, cell: newTestCell(), hosts: make(map[string]*hostState), waits: make(map[uint64]*waitState)}
	m.names = []string{"a", "b", "c", "d"}
	for _, name := range m.names {
		m.hosts[name] = &hostState{}
		m.start(name)
	}
	return m
}

// start starts a host's process. There are two hosts in each zone, one of which
// reads the platform.
func (m *versionModel) start(name string) {
	zone := "z1"
	if name > "b" {
		zone = "z2"
	}
	m.cell.start(name, zone, WithReaders(1))
}

func (m *versionModel) randomHost(r *rapid.T) string {
	return rapid.SampledFrom(m.names).Draw(r, "host")
}

// publish publishes the next version if the platform is up, with a random
// grace.
func (m *versionModel) publish(r *rapid.T) {
	p := NewPublisher(m.cell.platform, m.cell.timers, m.log())
	grace := rapid.SampledFrom([]string{"0s", "1s", "4s"}).Draw(r, "grace")
	e := edit(m.cell, AnyVersion, &Policy{Name: "p", Grace: duration(m.t, grace)}, &Queue{Name: "q", Policy: "p"},
		&Team{Name: "t" + number(float64(len(m.heads)))})
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // no retries, since nothing advances time
	if !m.cell.platform.Faults().Down {
		ctx = context.Background()
	}
	res, err := p.Publish(ctx, e)
	if err != nil {
		return
	}
	m.heads = append(m.heads, res.Head)
	m.results = append(m.results, res)
}

func (m *versionModel) log() *zap.Logger { return zap.NewNop() }

func duration(t *testing.T, text string) *setup.Duration {
	t.Helper()
	var d setup.Duration
	is.New(t).NoErr(d.UnmarshalText([]byte(text)))
	return &d
}

// oldHead delivers a delayed announcement.
func (m *versionModel) oldHead(r *rapid.T) {
	if len(m.heads) == 0 {
		return
	}
	h := rapid.SampledFrom(m.heads).Draw(r, "head")
	m.cell.followers[m.randomHost(r)].handleTell(context.Background(), Announcement{Head: h, Address: m.randomHost(r)})
}

// pollNewest polls once, from host a, whether the newest version is in force
// everywhere, and keeps the wait's state for the next poll.
func (m *versionModel) pollNewest() {
	if len(m.results) == 0 {
		return
	}
	res := m.results[len(m.results)-1]
	rd := m.waits[res.Head.Version]
	f := m.cell.followers["a"]
	if rd == nil || rd.waiter.follower != f {
		w := NewWaiter(m.cell.platform, m.cell.timers, f, nil, m.log())
		rd = w.newWaitState(res)
		m.waits[res.Head.Version] = rd
	}
	p, _ := rd.poll(context.Background())
	rd.waiter.Close() // the model's hosts serve one call at a time
	if p.Accepted && res.Head.Version > m.accepted {
		m.accepted = res.Head.Version
		rd.waiter.recordAccepted(context.Background(), res.Head.Version)
	}
}

func (m *versionModel) check(r *rapid.T) {
	for _, name := range m.names {
		f, seen := m.cell.followers[name], m.hosts[name]
		version := f.Head().Version
		if version < seen.applied {
			r.Fatalf("%s applied %d after %d", name, version, seen.applied)
		}
		seen.applied = version
		if !f.Honours("q") && !f.Fresh() {
			continue
		}
		if version < seen.honoured {
			r.Fatalf("%s honours %d after %d", name, version, seen.honoured)
		}
		if version < m.accepted {
			r.Fatalf("%s honours %d, and %d is in force", name, version, m.accepted)
		}
		seen.honoured = version
	}
}

func TestNewestIsReachedOnceFaultsEnd(t *testing.T) {
	is := is.New(t)
	m := newModel(t)
	for _, name := range m.names[1:] {
		m.cell.cut[name] = true
	}
	c := m.cell
	c.write(t, 4, setWith(t, ""))
	c.refreshAll()
	c.timers.Advance(time.Hour)
	for _, name := range m.names {
		c.cut[name] = false
	}
	for range 3 {
		c.refreshAll()
		c.timers.Advance(DefaultInterval)
	}
	for _, name := range m.names {
		is.Equal(c.followers[name].Head().Version, uint64(4))
		is.True(c.followers[name].Fresh())
	}
}

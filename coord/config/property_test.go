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

// hostHistory is what one host has done, through all its restarts.
type hostState struct {
	honoured uint64 // highest version under which it honoured keys
	applied  uint64 // of the present process
}

// TestVersionsNeverGoDown drives hosts with random publishes, losses, cuts,
// lagging objects, late answers and restarts. Within one process no applied
// version may be below an earlier one; on one host, through all restarts, no
// version under which keys are honoured may be; and once a version is in force
// everywhere no host may honour keys under an older one.
func TestVersionsNeverGoDown(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := newModel(t)
		r.Repeat(map[string]func(*rapid.T){
			"publish": func(r *rapid.T) { m.publish(r) },
			"refresh": func(r *rapid.T) { m.cell.followers[m.host(r)].refresh(context.Background()) },
			"round":   func(*rapid.T) { m.cell.refreshAll() },
			"restart": func(r *rapid.T) {
				name := m.host(r)
				m.cell.timers.Advance(time.Millisecond)
				m.start(name)
				m.seen[name].applied = 0
				if rapid.Bool().Draw(r, "refresh") {
					m.cell.followers[name].refresh(context.Background())
				}
			},
			"tell newest": func(r *rapid.T) {
				if n := len(m.heads); n > 0 {
					m.cell.followers[m.host(r)].handleTell(context.Background(), Told{Head: m.heads[n-1]})
				}
			},
			"wait": func(r *rapid.T) {
				m.cell.timers.Advance(time.Duration(rapid.SampledFrom([]int{1, 100, 1000, 3000}).Draw(r, "ms")) * time.Millisecond)
			},
			"cut":      func(r *rapid.T) { n := m.host(r); m.cell.cut[n] = !m.cell.cut[n] },
			"platform": func(r *rapid.T) { n := m.host(r); m.cell.noPlatform[n] = !m.cell.noPlatform[n] },
			"faults": func(r *rapid.T) {
				m.cell.platform.SetFaults(store.Faults{
					Down: rapid.IntRange(0, 3).Draw(r, "down") == 0,
					Lag:  time.Duration(rapid.IntRange(0, 2).Draw(r, "lag")) * time.Second,
				})
			},
			"slow answers": func(r *rapid.T) {
				m.cell.delay = time.Duration(rapid.SampledFrom([]int{0, 0, 200, 1500}).Draw(r, "delay")) * time.Millisecond
			},
			"old head": func(r *rapid.T) { m.oldHead(r) },
			"accept":   func(*rapid.T) { m.accept() },
			"":         func(r *rapid.T) { m.check(r) },
		})
	})
}

// model is a cell with what was seen of it.
type model struct {
	t        *testing.T
	cell     *testCell
	names    []string
	seen     map[string]*hostState
	heads    []Head
	results  []Result
	rounds   map[uint64]*waitState
	accepted uint64
}

func newModel(t *testing.T) *model {
	m := &model{t: t, cell: newTestCell(), seen: make(map[string]*hostState), rounds: make(map[uint64]*waitState)}
	m.names = []string{"a", "b", "c", "d"}
	for _, name := range m.names {
		m.seen[name] = &hostState{}
		m.start(name)
	}
	return m
}

// start makes the host's process; two in each zone, of which one reads the
// platform.
func (m *model) start(name string) {
	zone := "z1"
	if name > "b" {
		zone = "z2"
	}
	m.cell.start(name, zone, WithReaders(1))
}

func (m *model) host(r *rapid.T) string { return rapid.SampledFrom(m.names).Draw(r, "host") }

// publish writes the next version if the platform takes it. Its grace is that
// of one policy, which changes from version to version.
func (m *model) publish(r *rapid.T) {
	p := NewPublisher(m.cell.platform, m.cell.timers, m.log())
	grace := rapid.SampledFrom([]string{"0s", "1s", "4s"}).Draw(r, "grace")
	e := edit(m.cell, AnyVersion, &Policy{Name: "p", Grace: duration(m.t, grace)}, &Queue{Name: "q", Policy: "p"},
		&Team{Name: "t" + number(float64(len(m.heads)))})
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // a lost answer is not asked for again, since nobody moves time on
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

func (m *model) log() *zap.Logger { return zap.NewNop() }

func duration(t *testing.T, text string) *setup.Duration {
	t.Helper()
	var d setup.Duration
	is.New(t).NoErr(d.UnmarshalText([]byte(text)))
	return &d
}

// oldHead delivers a head that was long on its way.
func (m *model) oldHead(r *rapid.T) {
	if len(m.heads) == 0 {
		return
	}
	h := rapid.SampledFrom(m.heads).Draw(r, "head")
	m.cell.followers[m.host(r)].handleTell(context.Background(), Told{Head: h, Address: m.host(r)})
}

// accept asks once whether the newest version is in force everywhere, from
// host a, as its Wait goes on doing.
func (m *model) accept() {
	if len(m.results) == 0 {
		return
	}
	res := m.results[len(m.results)-1]
	rd := m.rounds[res.Head.Version]
	f := m.cell.followers["a"]
	if rd == nil || rd.waiter.follower != f {
		w := NewWaiter(m.cell.platform, m.cell.timers, f, nil, m.log())
		rd = w.newWaitState(res)
		m.rounds[res.Head.Version] = rd
	}
	p, _ := rd.poll(context.Background())
	rd.waiter.Close() // the hosts of the model take one call at a time
	if p.Accepted && res.Head.Version > m.accepted {
		m.accepted = res.Head.Version
		rd.waiter.recordAccepted(context.Background(), res.Head.Version)
	}
}

func (m *model) check(r *rapid.T) {
	for _, name := range m.names {
		f, seen := m.cell.followers[name], m.seen[name]
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

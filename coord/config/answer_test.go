package config

import (
	"context"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
)

// outageModel is a cell of two entries, which are writers, and two placers. The
// writers confirm versions while the platform is unavailable to all or some
// processes.
type outageModel struct {
	*testCell
	highestHonoured map[string]uint64 // highest version under which a process accepted keys
	waits           []*waitState
	lateCommits     [][]store.Op // commits that the test may apply later
	answerFault     string       // fault of the next publish's commit: "late", "after" or none
	beforeCommit    func()       // called once, just before the next publish is committed
	accepted        uint64
	published       int
}

func newOutageModel() *outageModel {
	m := &outageModel{testCell: newTestCell(), highestHonoured: make(map[string]uint64)}
	for _, name := range []string{"entry/a", "entry/b", "placer/a", "placer/b"} {
		m.startProcess(name)
	}
	for range 4 {
		m.tick(DefaultInterval)
	}
	m.publish("entry/a", "1s")
	for range 4 {
		m.tick(DefaultInterval)
		m.pollAll()
	}
	return m
}

// startProcess starts a process, replacing an earlier one of that name.
func (m *outageModel) startProcess(name string) *Follower {
	options := []Option{WithReaders(1)}
	if strings.HasPrefix(name, "entry") {
		options = append(options, WithWriter())
	}
	return m.start(name, "z-"+name[len(name)-1:], options...)
}

// stopProcess ends a process. If planned, it leaves first.
func (m *outageModel) stopProcess(name string, planned bool) {
	if planned && m.paused != name {
		_ = m.followers[name].Leave(context.Background())
	}
	m.followers[name] = nil
}

// running returns the names of the running processes with that prefix.
func (m *outageModel) running(prefix string) []string {
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(m.followers)), func(name string) bool {
		return m.followers[name] == nil || !strings.HasPrefix(name, prefix)
	})
	return names
}

// tick advances time and lets all processes refresh once.
func (m *outageModel) tick(d time.Duration) {
	m.timers.Advance(d)
	for _, name := range m.running("") {
		m.runProcess(name)
	}
}

func (m *outageModel) runProcess(name string) {
	if m.paused != name {
		m.followers[name].confirmFromWriters(context.Background())
		m.followers[name].refresh(context.Background())
	}
}

// publishPlatform is the platform as seen by one publishing entry. It applies
// answerFault to the commit of a version.
type publishPlatform struct {
	*testReader
	model  *outageModel
	cancel context.CancelFunc
}

func (p *publishPlatform) PutObject(ctx context.Context, name string, data []byte) error {
	return p.cell.platform.PutObject(ctx, name, data)
}

func (p *publishPlatform) Commit(ctx context.Context, ops []store.Op) error {
	if len(ops) < 3 {
		return p.testReader.Commit(ctx, ops)
	}
	if midway := p.model.beforeCommit; midway != nil {
		p.model.beforeCommit = nil
		midway()
	}
	lose := p.model.answerFault
	p.model.answerFault = ""
	if lose == "late" {
		p.model.lateCommits = append(p.model.lateCommits, ops)
		p.cancel()
		return &store.UnavailableError{Op: "commit"}
	}
	err := p.testReader.Commit(ctx, ops)
	if err == nil && lose == "after" {
		err = &store.UnavailableError{Op: "commit"}
	}
	if err != nil {
		p.cancel() // nothing advances time during a publish, so a retry would never wake up
	}
	return err
}

// publish makes an entry publish a version with that grace, and start waiting
// for its acceptance if the publish succeeds.
func (m *outageModel) publish(name, grace string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := NewPublisher(&publishPlatform{&testReader{cell: m.testCell, name: name}, m, cancel}, m.timers, zap.NewNop())
	m.published++
	var d Policy
	d.Name, d.Grace = "p", mustDuration(grace)
	res, err := p.Publish(ctx, &Edit{
		ID: audit.NewID(m.timers.Now()), Author: "ana", Base: AnyVersion, Action: audit.Set,
		Put: []Object{&d, &Queue{Name: "q", Policy: "p"}, &Team{Name: "t" + number(float64(m.published))}},
	})
	m.answerFault, m.beforeCommit = "", nil
	if err == nil {
		m.wait(name, res)
	}
}

func (m *outageModel) wait(name string, res Result) {
	w := NewWaiter(&testReader{cell: m.testCell, name: name}, m.timers, m.followers[name], nil, zap.NewNop())
	m.waits = append(m.waits, w.newWaitState(res))
}

// waitNewest makes an entry wait for the newest version, as after a lost reply.
func (m *outageModel) waitNewest(name string) {
	head, _, err := readHead(context.Background(), &testReader{cell: m.testCell, name: name})
	if err == nil && head.Version > 0 {
		m.wait(name, Result{Head: head, Published: m.timers.Boot()})
	}
}

// pollAll polls every wait whose process is still running.
func (m *outageModel) pollAll() {
	for _, r := range m.waits {
		name := r.waiter.follower.name
		if m.followers[name] != r.waiter.follower || m.paused == name {
			continue
		}
		p, _ := r.poll(context.Background())
		r.waiter.Close()
		if p.Accepted && r.head.Version > m.accepted {
			m.accepted = r.head.Version
			r.waiter.recordAccepted(context.Background(), r.head.Version)
		}
	}
}

// honours returns the version under which a process accepts keys, or 0 if it
// accepts none.
func (m *outageModel) honours(name string) uint64 {
	f := m.followers[name]
	if f == nil || !f.Honours("q") && !f.Fresh() {
		return 0
	}
	return f.Head().Version
}

func mustDuration(text string) *setup.Duration {
	var d setup.Duration
	if err := d.UnmarshalText([]byte(text)); err != nil {
		panic(err)
	}
	return &d
}

func (r Roll) names() []string {
	var out []string
	for _, w := range r.Writers {
		out = append(out, w.Name)
	}
	return out
}

// TestNoOlderVersionAfterAcceptance drives processes through kills, pauses,
// partitions, lost and late replies, outages of the platform for all or some of
// them, planned stops, restarts under the same and new names, and concurrent
// publishes. Once a version has been accepted, no process may accept keys under
// an older one; nor may a process go back to an older version.
func TestNoOlderVersionAfterAcceptance(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := newOutageModel()
		names := []string{"entry/a", "entry/b", "entry/c", "entry/d", "placer/a", "placer/b"}
		pick := func(r *rapid.T, prefix string) (string, bool) {
			live := m.running(prefix)
			if len(live) == 0 {
				return "", false
			}
			return rapid.SampledFrom(live).Draw(r, "name"), true
		}
		forRandom := func(prefix string, act func(*rapid.T, string)) func(*rapid.T) {
			return func(r *rapid.T) {
				if name, ok := pick(r, prefix); ok {
					act(r, name)
				}
			}
		}
		tick := func(r *rapid.T) {
			for range rapid.IntRange(4, 12).Draw(r, "ticks") {
				m.tick(DefaultInterval)
				m.pollAll()
			}
		}
		publish := func(r *rapid.T, name string) {
			m.answerFault = rapid.SampledFrom([]string{"", "", "late", "after"}).Draw(r, "answer")
			if rapid.Bool().Draw(r, "midway") {
				m.beforeCommit = func() { m.tick(10 * time.Millisecond) }
			}
			m.publish(name, rapid.SampledFrom([]string{"0s", "1s"}).Draw(r, "grace"))
		}
		restore := func(r *rapid.T) {
			clear(m.cut)
			clear(m.partitioned)
			clear(m.noPlatform)
			m.paused, m.replyDelay, m.lostCalls = "", 0, nil
			roll, _, _ := readRoll(context.Background(), m.platform)
			for _, name := range append(roll.names(), "entry/a", "placer/a") {
				if m.followers[name] == nil {
					m.startProcess(name)
				}
			}
			tick(r)
		}
		r.Repeat(map[string]func(*rapid.T){
			"tick":    tick,
			"tick on": tick,
			"act":     forRandom("", func(_ *rapid.T, name string) { m.runProcess(name) }),
			"read":    forRandom("", func(_ *rapid.T, name string) { _ = m.followers[name].read(context.Background()) }),
			"publish": forRandom("entry", publish),
			"race": forRandom("entry", func(r *rapid.T, name string) {
				other, _ := pick(r, "entry")
				if other != name { // a process publishes one edit at a time
					m.beforeCommit = func() { m.publish(other, "0s") }
				}
				m.publish(name, "0s")
			}),
			"wait": forRandom("entry", func(_ *rapid.T, name string) { m.waitNewest(name) }),
			"late commit": func(*rapid.T) {
				if len(m.lateCommits) > 0 {
					_ = m.platform.Commit(context.Background(), m.lateCommits[0])
					m.lateCommits = m.lateCommits[1:]
				}
			},
			"start": func(r *rapid.T) {
				m.timers.Advance(time.Millisecond)
				m.startProcess(rapid.SampledFrom(names).Draw(r, "name"))
			},
			"stop":  forRandom("", func(r *rapid.T, name string) { m.stopProcess(name, rapid.Bool().Draw(r, "planned")) }),
			"pause": forRandom("", func(_ *rapid.T, name string) { m.paused = name }),
			"wake":  func(*rapid.T) { m.paused = "" },
			"cut":   forRandom("", func(_ *rapid.T, name string) { m.cut[name] = !m.cut[name] }),
			"newcomer": func(r *rapid.T) { // only one entry reaches the platform
				if rapid.IntRange(0, 3).Draw(r, "whole") > 0 {
					restore(r)
				}
				name := rapid.SampledFrom(names[:4]).Draw(r, "name")
				clear(m.cut)
				clear(m.partitioned)
				m.partitioned[name] = rapid.IntRange(0, 3).Draw(r, "apart") > 0
				for _, other := range names {
					m.noPlatform[other] = other != name
				}
				if rapid.Bool().Draw(r, "lose") {
					m.lostCalls = map[string]bool{wire.VerbHead: true, wire.VerbTell: rapid.Bool().Draw(r, "tell")}
				}
				start := rapid.SampledFrom([]string{"as it is", "start", "stop and start"}).Draw(r, "start")
				if start == "stop and start" && m.followers[name] != nil {
					apart := m.partitioned[name]
					m.partitioned[name] = false
					m.stopProcess(name, true)
					m.partitioned[name] = apart
				}
				if start != "as it is" || m.followers[name] == nil {
					m.timers.Advance(time.Millisecond)
					m.startProcess(name)
				}
				tick(r)
				publish(r, name)
				tick(r)
			},
			"whole": restore,
			"apart": forRandom("", func(_ *rapid.T, name string) { m.partitioned[name] = !m.partitioned[name] }),
			"heal":  func(*rapid.T) { clear(m.cut); clear(m.partitioned) },
			"no platform": func(r *rapid.T) {
				for _, name := range names {
					m.noPlatform[name] = rapid.IntRange(0, 4).Draw(r, name) > 0
				}
			},
			"lose calls": func(r *rapid.T) {
				m.lostCalls = make(map[string]bool)
				for _, kind := range []string{wire.VerbHead, wire.VerbTell, wire.VerbFetch, "ask"} {
					m.lostCalls[kind] = rapid.Bool().Draw(r, kind)
				}
			},
			"slow answers": func(r *rapid.T) {
				m.replyDelay = time.Duration(rapid.SampledFrom([]int{0, 0, 20, 300}).Draw(r, "delay")) * time.Millisecond
			},
			"platform": func(*rapid.T) { clear(m.noPlatform) },
			"accept":   func(*rapid.T) { m.pollAll() },
			"time": func(r *rapid.T) {
				m.timers.Advance(time.Duration(rapid.SampledFrom([]int{1, 100, 600, 2100}).Draw(r, "ms")) * time.Millisecond)
			},
			"": func(r *rapid.T) {
				for _, name := range names {
					version := m.honours(name)
					if version == 0 {
						continue
					}
					if version < m.accepted || version < m.highestHonoured[name] {
						r.Fatalf("%s honours %d, after %d, and %d is in force", name, version, m.highestHonoured[name], m.accepted)
					}
					m.highestHonoured[name] = version
				}
			},
		})
	})
}

// TestOutageOfAnHour checks that processes accept keys throughout an outage of
// the platform (an hour in the first case, a minute in the others) while all
// writers reply, and stop once a writer no longer does, unless it left by plan.
func TestOutageOfAnHour(t *testing.T) {
	tests := map[string]struct {
		event func(m *outageModel)
		serve bool
	}{
		"all entries live":                 {event: func(*outageModel) {}, serve: true},
		"a placer is killed":               {event: func(m *outageModel) { m.stopProcess("placer/a", false) }, serve: true},
		"an entry is killed":               {event: func(m *outageModel) { m.stopProcess("entry/b", false) }},
		"an entry is cut off":              {event: func(m *outageModel) { m.cut["entry/b"] = true }},
		"an entry is paused":               {event: func(m *outageModel) { m.paused = "entry/b" }},
		"an entry is stopped":              {event: func(m *outageModel) { m.stopProcess("entry/b", true) }, serve: true},
		"an entry is replaced":             {event: func(m *outageModel) { m.stopProcess("entry/b", true); m.startProcess("entry/b") }, serve: true},
		"an entry is killed and restarted": {event: func(m *outageModel) { m.stopProcess("entry/b", false); m.startProcess("entry/b") }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newOutageModel()
			m.platform.SetFaults(store.Faults{Down: true})
			length := time.Minute
			if name == "all entries live" {
				length = time.Hour
			}
			for range length / DefaultInterval {
				m.tick(DefaultInterval)
				is.Equal(m.honours("entry/a"), uint64(1))
				is.Equal(m.honours("placer/b"), uint64(1))
				is.True(m.followers["entry/a"].Fresh()) // at the default grace
			}
			tt.event(m)
			m.tick(DefaultPeriod + DefaultGrace)
			for range 20 {
				m.tick(DefaultInterval)
			}
			is.Equal(m.followers["entry/a"].Fresh(), tt.serve)
			is.Equal(m.honours("entry/a") > 0, tt.serve)
			is.Equal(m.honours("placer/b") > 0, tt.serve)
			m.platform.SetFaults(store.Faults{})
			clear(m.cut)
			m.tick(DefaultInterval)
			is.Equal(m.honours("entry/a"), uint64(1))
		})
	}
}

// TestNewcomerWaitsForAll guards against accepting a version that some
// processes don't know. Only a new entry, unknown to the others, reaches the
// platform. The others keep confirming the old version without it, so its
// publish must not be accepted. Once an older writer, which all of them query,
// has the new version, they lapse and the version is accepted.
func TestNewcomerWaitsForAll(t *testing.T) {
	is := is.New(t)
	m := newOutageModel()
	ticks := func() {
		for range 20 {
			m.tick(DefaultInterval)
			m.pollAll()
		}
	}
	for _, name := range m.running("") {
		m.noPlatform[name] = true
	}
	m.partitioned["entry/c"] = true
	m.startProcess("entry/c")
	ticks()
	m.publish("entry/c", "0s")
	ticks()
	is.Equal(len(m.waits), 2)
	is.Equal(m.accepted, uint64(1))
	is.Equal(m.honours("placer/b"), uint64(1))
	p, err := m.waits[1].poll(t.Context())
	is.NoErr(err)
	is.Equal(p.Waits, []string{noCommonWriter})
	is.Equal(p.Missing, []string{"entry/a", "entry/b", "placer/a", "placer/b"})
	m.partitioned["entry/a"], m.noPlatform["entry/a"] = true, false // first on the roll, so that all others query it
	ticks()
	is.Equal(m.accepted, uint64(2))
	is.Equal(m.honours("placer/b"), uint64(0))
	is.Equal(m.honours("entry/a"), uint64(2))
}

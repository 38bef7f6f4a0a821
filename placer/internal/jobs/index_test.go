package jobs

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/ledger"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

const testHistory = time.Hour

// noQueue decides nothing.
type noQueue struct{}

func (noQueue) Submit(sched.Item) error   { return nil }
func (noQueue) Cancel(string) bool        { return true }
func (noQueue) Fits(wire.Needs, int) bool { return true }
func (noQueue) Room(wire.Needs, int) int  { return 0 }
func (noQueue) Backlog() int              { return 0 }
func (noQueue) Started(desk.Order)        {}
func (noQueue) Unsent(desk.Order) bool    { return true }
func (noQueue) Ended(desk.Order, bool)    {}

// ledgerModel is two placers that drive, end and delete jobs of one platform.
// Time moves only when a step says so, also that of late writes.
type ledgerModel struct {
	t       *rapid.T
	ctx     context.Context
	clock   *timer.Service
	memory  *store.Memory
	drivers map[string]*Driver
	ended   map[string]time.Time // when a row with an outcome was first seen
	last    map[string]wire.Job  // rows as last seen
}

func newLedgerModel(t *rapid.T) *ledgerModel {
	clock := timer.New(timer.WithManual(time.Unix(1_000_000, 0)))
	m := &ledgerModel{t: t, ctx: context.Background(), clock: clock, memory: store.New(store.WithTimer(clock)),
		drivers: make(map[string]*Driver), ended: make(map[string]time.Time), last: make(map[string]wire.Job)}
	m.restart("p")
	m.restart("q")
	return m
}

// kill replaces a placer by one of the same name that knows nothing.
func (m *ledgerModel) restart(name string) {
	m.drivers[name] = New(name, "a", Parts{Timer: m.clock, Table: m.memory, Queue: noQueue{}, Members: twoMembers{}, Caller: unreachable{},
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(), History: testHistory})
}

func (m *ledgerModel) accept(id string) {
	ops, err := ledger.Create(ledger.Key("a", id), &wire.Job{Request: wire.Request{ID: id, Kind: wire.Batch, Idempotent: true}, Zone: "a"}, "e")
	if err != nil {
		m.t.Fatal(err)
	}
	_ = m.memory.Commit(m.ctx, ops)
}

// take makes a placer the driver of a job, whoever drives it now.
func (m *ledgerModel) takeOver(d *Driver, id string) {
	row, version, err := d.readRow(m.ctx, id)
	if err != nil || row.Outcome != "" {
		return
	}
	row.Driver = d.name
	row.Epoch++
	if d.updateRow(m.ctx, row, version) == nil {
		d.adopt(row, version+1)
	}
}

// change changes a job that a placer drives and tries once to write it.
func (m *ledgerModel) change(d *Driver, id string, change func(j *job)) {
	j := d.find(id)
	if j == nil {
		return
	}
	change(j)
	if c, ok := j.pendingWrite(m.clock.Now()); ok {
		d.writeOne(m.ctx, &c)
	}
}

// rows returns a table's rows by id.
func (m *ledgerModel) rows(table string) map[string]store.Row {
	faults := m.memory.Faults()
	m.memory.SetFaults(store.Faults{})
	defer m.memory.SetFaults(faults)
	list, err := m.memory.Scan(m.ctx, table, ledger.Prefix("a"))
	if err != nil {
		m.t.Fatal(err)
	}
	out := make(map[string]store.Row)
	for _, r := range list {
		out[r.Key[len(ledger.Prefix("a")):]] = r
	}
	return out
}

// check compares the rows with one another and with those of the step before.
func (m *ledgerModel) check() {
	jobs, opens, ends, marks := m.rows(ledger.Jobs), m.rows(ledger.Opens), m.rows(ledger.Ends), m.rows(ledger.Marks)
	now := make(map[string]wire.Job)
	for id, r := range jobs {
		var job wire.Job
		if err := cbor.Unmarshal(r.Value, &job); err != nil {
			m.t.Fatal(err)
		}
		now[id] = job
		_, marked := marks[id]
		_, over := ends[id]
		o, open := opens[id]
		if !marked || open == over || open != (job.Outcome == "") {
			m.t.Fatalf("%s: outcome %q, marked %v, open %v, over %v", id, job.Outcome, marked, open, over)
		}
		var in ledger.Open
		if open && (cbor.Unmarshal(o.Value, &in) != nil || in.Driver != job.Driver || in.Cancel != job.Cancel) {
			m.t.Fatalf("%s: the index has %+v, the row %q %v", id, in, job.Driver, job.Cancel)
		}
	}
	for _, other := range []map[string]store.Row{opens, ends, marks} {
		for id := range other {
			if _, ok := jobs[id]; !ok {
				m.t.Fatalf("%s has a row without its job", id)
			}
		}
	}
	m.compare(now)
	m.last = now
}

// compare looks for open jobs that are gone, for ended ones that are gone too
// early, and for ended ones that are open again.
func (m *ledgerModel) compare(now map[string]wire.Job) {
	for id, old := range m.last {
		job, ok := now[id]
		if old.Outcome != "" && ok && job.Outcome == "" && job.Epoch == 0 {
			ok = false // The row was deleted and a new job accepted under its id.
		}
		switch {
		case old.Outcome == "" && !ok:
			m.t.Fatalf("%s was open and is gone", id)
		case old.Outcome != "" && !ok && m.clock.Now().Sub(m.ended[id]) < testHistory-time.Second:
			m.t.Fatalf("%s is gone %v after its end", id, m.clock.Now().Sub(m.ended[id]))
		case old.Outcome != "" && ok && job.Outcome == "":
			m.t.Fatalf("%s had ended and is open", id)
		}
	}
	for id, job := range now {
		if _, ok := m.last[id]; !ok || job.Outcome == "" {
			delete(m.ended, id) // a new job under an id that was forgotten
		}
		if _, seen := m.ended[id]; job.Outcome != "" && !seen {
			m.ended[id] = m.clock.Now()
		}
	}
}

// Whatever is lost, late or killed between two steps, the index has each open
// job and no other, and no row of an open or of a lately ended job is deleted.
func TestIndexAgreesWithJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLedgerModel(t)
		id := func() string { return fmt.Sprintf("a.%d", rapid.IntRange(0, 3).Draw(t, "id")) }
		driver := func() *Driver { return m.drivers[rapid.SampledFrom([]string{"p", "q"}).Draw(t, "placer")] }
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(*rapid.T) { m.accept(id()) },
			"take":   func(*rapid.T) { m.takeOver(driver(), id()) },
			"end": func(*rapid.T) {
				d := driver()
				m.change(d, id(), func(j *job) { d.endUnstarted(j, wire.ReasonDeadline) })
			},
			"write again": func(*rapid.T) {
				m.change(driver(), id(), func(j *job) { j.mu.Lock(); j.changeLocked(); j.mu.Unlock() })
			},
			"give up": func(*rapid.T) {
				m.change(driver(), id(), func(j *job) { j.mu.Lock(); j.row.Driver = ""; j.changeLocked(); j.mu.Unlock() })
			},
			"cancel": func(*rapid.T) { _ = driver().writeCancel(m.ctx, id()) },
			"sweep":  func(*rapid.T) { driver().sweep(m.ctx) },
			"kill":   func(*rapid.T) { m.restart(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "killed")) },
			"time": func(*rapid.T) {
				// A late write takes effect within the first second; its end counts from there.
				m.clock.Advance(time.Second)
				m.check()
				m.clock.Advance(rapid.SampledFrom([]time.Duration{0, testHistory/2 - time.Second, testHistory - time.Second}).Draw(t, "time"))
			},
			"platform": func(*rapid.T) {
				m.memory.SetFaults(rapid.SampledFrom([]store.Faults{{}, {}, {Down: true}, {Lose: true}, {Drop: 1}, {Next: 1}, {Late: time.Second}}).Draw(t, "faults"))
			},
			"": func(*rapid.T) { m.check() },
		})
	})
}

// The same step by step: a sweep that is struck at each of its calls.
func TestSweepFaults(t *testing.T) {
	tests := map[string]struct {
		faults store.Faults
		amid   func(m *store.Memory) // before the sweep's first write
		left   []string              // after the sweep
		again  []string              // after the next one, when all is well
	}{
		"all well":              {left: []string{"new", "open"}, again: []string{"new", "open"}},
		"platform is down":      {faults: store.Faults{Down: true}, left: []string{"new", "old", "older", "open"}, again: []string{"new", "open"}},
		"the write is lost":     {faults: store.Faults{Drop: 1}, left: []string{"new", "old", "older", "open"}, again: []string{"new", "open"}},
		"the answer is lost":    {faults: store.Faults{Next: 1}, left: []string{"new", "open"}, again: []string{"new", "open"}},
		"a row changes":         {amid: rewriteRow, left: []string{"new", "old", "open"}, again: []string{"new", "old", "open"}},
		"another one sweeps":    {amid: deleteJob, left: []string{"new", "open"}, again: []string{"new", "open"}},
		"the row is gone alone": {amid: deleteJobRow, left: []string{"new", "open"}, again: []string{"new", "open"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			table := &hookedStore{Memory: store.New()}
			long := time.Now().Add(-testHistory - time.Minute)
			put(t, table, "old", "p", wire.Done, long)
			put(t, table, "older", "p", wire.Done, long)
			put(t, table, "new", "p", wire.Done, time.Now())
			put(t, table, "open", "p", "", time.Time{})
			d := newDriver(t, table, timer.New())
			d.history = testHistory
			table.before = tt.amid
			table.SetFaults(tt.faults)
			d.sweep(ctx)
			table.SetFaults(store.Faults{})
			is.Equal(ids(t, table, ledger.Jobs), tt.left)
			d.sweep(ctx)
			is.Equal(ids(t, table, ledger.Jobs), tt.again)
			is.Equal(ids(t, table, ledger.Marks), tt.again)
			is.Equal(ids(t, table, ledger.Opens), []string{"open"})
		})
	}
}

// struck calls before once, ahead of the next write.
type hookedStore struct {
	*store.Memory
	before func(m *store.Memory)
}

func (s *hookedStore) Commit(ctx context.Context, ops []store.Op) error {
	if f := s.before; f != nil {
		s.before = nil
		f(s.Memory)
	}
	return s.Memory.Commit(ctx, ops)
}

// touch writes the row of the job "old" once more, as its driver may.
func rewriteRow(m *store.Memory) {
	row, _ := m.Get(context.Background(), ledger.Jobs, ledger.Key("a", "old"))
	var job wire.Job
	_ = cbor.Unmarshal(row.Value, &job)
	ops, _ := ledger.Update(row.Key, &job, row.Version, time.Now())
	_ = m.Commit(context.Background(), ops)
}

// sweepBeside deletes the job "old" as another placer does.
func deleteJob(m *store.Memory) {
	row, _ := m.Get(context.Background(), ledger.Jobs, ledger.Key("a", "old"))
	end, _ := m.Get(context.Background(), ledger.Ends, row.Key)
	_ = m.Commit(context.Background(), ledger.Remove(row.Key, row.Version, end.Version))
}

// loseRow deletes the job's own row without the others.
func deleteJobRow(m *store.Memory) {
	_ = m.Commit(context.Background(), []store.Op{{Table: ledger.Jobs, Key: ledger.Key("a", "old"), Expect: store.Any, Action: store.Delete}})
}

// ids returns the ids of a table's rows, sorted.
func ids(t *testing.T, table Table, name string) []string {
	t.Helper()
	rows, err := table.Scan(context.Background(), name, ledger.Prefix("a"))
	is.New(t).NoErr(err)
	out := make([]string, 0, len(rows))
	for i := range rows {
		out = append(out, rows[i].Key[len(ledger.Prefix("a")):])
	}
	slices.Sort(out)
	return out
}

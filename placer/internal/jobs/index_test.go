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
	"github.com/balsamford/balsamford/placer/internal/queue"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

const testHistory = time.Hour

// noQueue is a Queue that accepts all items and starts none.
type noQueue struct{}

func (noQueue) Submit(sched.Item) error   { return nil }
func (noQueue) Cancel(string) bool        { return true }
func (noQueue) Fits(wire.Needs, int) bool { return true }
func (noQueue) Room(wire.Needs, int) int  { return 0 }
func (noQueue) Backlog() int              { return 0 }
func (noQueue) Started(queue.Order)       {}
func (noQueue) Unsent(queue.Order) bool   { return true }
func (noQueue) Ended(queue.Order, bool)   {}

// ledgerModel is two placers that drive, end and delete jobs in one table. Only the
// "time" action moves the clock, which also applies delayed writes.
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

// restart replaces a placer by one of the same name without any state.
func (m *ledgerModel) restart(name string) {
	m.drivers[name] = New(name, "a", Parts{Timer: m.clock, Table: m.memory, Queue: noQueue{}, Members: twoMembers{}, Caller: unreachable{},
		Log: zap.NewNop(), Metrics: metrics.NewRegistry(), History: testHistory})
}

// accept writes a new job as an entry server does.
func (m *ledgerModel) accept(id string) {
	ops, err := ledger.Create(ledger.Key("a", id), &wire.Job{Request: wire.Request{ID: id, Kind: wire.Batch, Idempotent: true}, Zone: "a"}, "e")
	if err != nil {
		m.t.Fatal(err)
	}
	_ = m.memory.Commit(m.ctx, ops)
}

// takeOver makes a placer the driver of a job, even if another live placer drives it.
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

// change changes a job that a placer drives and tries to write it once.
func (m *ledgerModel) change(d *Driver, id string, change func(j *job)) {
	j := d.find(id)
	if j == nil {
		return
	}
	change(j)
	if w, ok := j.pendingWrite(m.clock.Now()); ok {
		d.writeOne(m.ctx, &w)
	}
}

// rows returns a table's rows by job id. It reads without faults.
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

// check checks that the tables are consistent with each other and with the rows of the
// previous step.
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
				m.t.Fatalf("%s: row without a job", id)
			}
		}
	}
	m.compare(now)
	m.last = now
}

// compare checks that no open job was deleted, no ended job was deleted before
// testHistory, and no ended job was opened again.
func (m *ledgerModel) compare(now map[string]wire.Job) {
	for id, old := range m.last {
		job, ok := now[id]
		if old.Outcome != "" && ok && job.Outcome == "" && job.Epoch == 0 {
			ok = false // The row was deleted and a new job accepted under its id.
		}
		switch {
		case old.Outcome == "" && !ok:
			m.t.Fatalf("open job %s was deleted", id)
		case old.Outcome != "" && !ok && m.clock.Now().Sub(m.ended[id]) < testHistory-time.Second:
			m.t.Fatalf("%s was deleted %v after its end", id, m.clock.Now().Sub(m.ended[id]))
		case old.Outcome != "" && ok && job.Outcome == "":
			m.t.Fatalf("ended job %s is open again", id)
		}
	}
	for id, job := range now {
		if _, ok := m.last[id]; !ok || job.Outcome == "" {
			delete(m.ended, id) // a new job that reuses a deleted id
		}
		if _, seen := m.ended[id]; job.Outcome != "" && !seen {
			m.ended[id] = m.clock.Now()
		}
	}
}

// Checks under lost and delayed writes and killed placers that the index has exactly
// the open jobs and that no open or recently ended job is deleted.
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
				// A delayed write takes effect within the first second, and the retention
				// time starts then.
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

// Checks a sweep with a fault or a concurrent change at each of its steps.
func TestSweepFaults(t *testing.T) {
	tests := map[string]struct {
		faults     store.Faults
		concurrent func(m *store.Memory) // concurrent change before the sweep's first write
		afterSweep []string              // after the sweep
		afterNext  []string              // after the next sweep, without faults
	}{
		"no faults":                   {afterSweep: []string{"new", "open"}, afterNext: []string{"new", "open"}},
		"platform is down":            {faults: store.Faults{Down: true}, afterSweep: []string{"new", "old", "older", "open"}, afterNext: []string{"new", "open"}},
		"the write is lost":           {faults: store.Faults{Drop: 1}, afterSweep: []string{"new", "old", "older", "open"}, afterNext: []string{"new", "open"}},
		"the answer is lost":          {faults: store.Faults{Next: 1}, afterSweep: []string{"new", "open"}, afterNext: []string{"new", "open"}},
		"a row changes":               {concurrent: rewriteRow, afterSweep: []string{"new", "old", "open"}, afterNext: []string{"new", "old", "open"}},
		"another placer sweeps":       {concurrent: deleteJob, afterSweep: []string{"new", "open"}, afterNext: []string{"new", "open"}},
		"only the job row is deleted": {concurrent: deleteJobRow, afterSweep: []string{"new", "open"}, afterNext: []string{"new", "open"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			table := &hookedStore{Memory: store.New()}
			expired := time.Now().Add(-testHistory - time.Minute)
			put(t, table, "old", "p", wire.Done, expired)
			put(t, table, "older", "p", wire.Done, expired)
			put(t, table, "new", "p", wire.Done, time.Now())
			put(t, table, "open", "p", "", time.Time{})
			d := newDriver(t, table, timer.New())
			d.history = testHistory
			table.beforeCommit = tt.concurrent
			table.SetFaults(tt.faults)
			d.sweep(ctx)
			table.SetFaults(store.Faults{})
			is.Equal(ids(t, table, ledger.Jobs), tt.afterSweep)
			d.sweep(ctx)
			is.Equal(ids(t, table, ledger.Jobs), tt.afterNext)
			is.Equal(ids(t, table, ledger.Marks), tt.afterNext)
			is.Equal(ids(t, table, ledger.Opens), []string{"open"})
		})
	}
}

// hookedStore calls beforeCommit once, before the next write.
type hookedStore struct {
	*store.Memory
	beforeCommit func(m *store.Memory)
}

func (s *hookedStore) Commit(ctx context.Context, ops []store.Op) error {
	if f := s.beforeCommit; f != nil {
		s.beforeCommit = nil
		f(s.Memory)
	}
	return s.Memory.Commit(ctx, ops)
}

// rewriteRow writes the row of the job "old" again, as its driver may.
func rewriteRow(m *store.Memory) {
	row, _ := m.Get(context.Background(), ledger.Jobs, ledger.Key("a", "old"))
	var job wire.Job
	_ = cbor.Unmarshal(row.Value, &job)
	ops, _ := ledger.Update(row.Key, &job, row.Version, time.Now())
	_ = m.Commit(context.Background(), ops)
}

// deleteJob deletes the job "old", as another placer's sweep does.
func deleteJob(m *store.Memory) {
	row, _ := m.Get(context.Background(), ledger.Jobs, ledger.Key("a", "old"))
	end, _ := m.Get(context.Background(), ledger.Ends, row.Key)
	_ = m.Commit(context.Background(), ledger.Remove(row.Key, row.Version, end.Version))
}

// deleteJobRow deletes the row of the job "old" but not its index entries.
func deleteJobRow(m *store.Memory) {
	_ = m.Commit(context.Background(), []store.Op{{Table: ledger.Jobs, Key: ledger.Key("a", "old"), Expect: store.Any, Action: store.Delete}})
}

// ids returns the sorted job ids of a table.
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

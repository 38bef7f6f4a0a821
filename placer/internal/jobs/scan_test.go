package jobs

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/ledger"
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/roster"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

// countingStore counts reads and the rows and bytes that they return.
type countingStore struct {
	*store.Memory
	reads, rows, bytes atomic.Int64
}

func (c *countingStore) Get(ctx context.Context, table, key string) (store.Row, error) {
	c.reads.Add(1)
	row, err := c.Memory.Get(ctx, table, key)
	if err == nil {
		c.rows.Add(1)
		c.bytes.Add(int64(len(row.Value)))
	}
	return row, err
}

func (c *countingStore) Scan(ctx context.Context, table, prefix string) ([]store.Row, error) {
	c.reads.Add(1)
	rows, err := c.Memory.Scan(ctx, table, prefix)
	c.rows.Add(int64(len(rows)))
	for i := range rows {
		c.bytes.Add(int64(len(rows[i].Value)))
	}
	return rows, err
}

// twoMembers are the live placers "p" and "q".
type twoMembers struct{}

func (twoMembers) Live() []roster.Member {
	return []roster.Member{{Name: "p", Zone: "a"}, {Name: "q", Zone: "a"}}
}

func (m twoMembers) Peers() []roster.Member { return m.Live()[1:] }

func (m twoMembers) Alive(name string) (roster.Member, bool) {
	for _, x := range m.Live() {
		if x.Name == name {
			return x, true
		}
	}
	return roster.Member{}, false
}

func (twoMembers) Silent(string) time.Duration { return 0 }

// unreachable is a Caller whose calls all fail.
type unreachable struct{}

func (unreachable) Call(context.Context, string, string, any, any) error { return &UnwrittenError{} }

func (unreachable) Open(context.Context, string, string) (*link.Stream, error) {
	return nil, &UnwrittenError{}
}

// newDriver returns the driver of placer "p" without endpoints.
func newDriver(t *testing.T, table Table, clock *timer.Service) *Driver {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return clock.Run(ctx) })
	t.Cleanup(func() { cancel(); _ = g.Wait() })
	return New("p", "a", Parts{Timer: clock, Table: table, Members: twoMembers{}, Caller: unreachable{}, Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
}

// put writes a job as an entry server does, and its end if outcome isn't empty.
func put(t *testing.T, table Table, id, driver string, outcome wire.Outcome, ended time.Time) {
	t.Helper()
	is := is.New(t)
	key := ledger.Key("a", id)
	job := wire.Job{Request: wire.Request{ID: id, Kind: wire.Batch, Body: make([]byte, 200)}, Zone: "a", Phase: wire.Queued, Driver: driver}
	ops, err := ledger.Create(key, &job, "e")
	is.NoErr(err)
	is.NoErr(table.Commit(context.Background(), ops))
	if outcome == "" {
		return
	}
	row, err := table.Get(context.Background(), ledger.Jobs, key)
	is.NoErr(err)
	job.Phase, job.Outcome = wire.Ended, outcome
	ops, err = ledger.Update(key, &job, row.Version, ended)
	is.NoErr(err)
	is.NoErr(table.Commit(context.Background(), ops))
}

// Checks that a scan makes one read and gets only open jobs, so that its cost doesn't
// grow with the ended jobs that are kept.
func TestScanReadsOpenJobsOnly(t *testing.T) {
	const ended, open, looks = 1000, 50, 10
	is := is.New(t)
	table := &countingStore{Memory: store.New()}
	for i := range ended {
		put(t, table, fmt.Sprintf("e.%d", i), "q", wire.Done, time.Now())
	}
	for i := range open {
		put(t, table, fmt.Sprintf("o.%d", i), "q", "", time.Time{})
	}
	d := newDriver(t, table, timer.New())
	table.reads.Store(0)
	table.rows.Store(0)
	table.bytes.Store(0)
	s := &scanner{orphans: make(map[string]int)}
	for range looks {
		is.True(d.scan(context.Background(), d.liveNames(), s))
	}
	reads, rows := table.reads.Load()/looks, table.rows.Load()/looks
	t.Logf("per scan: %d reads, %d rows, %d bytes", reads, rows, table.bytes.Load()/looks)
	is.Equal(reads, int64(1))
	is.Equal(rows, int64(open))
}

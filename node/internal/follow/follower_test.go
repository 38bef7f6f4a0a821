package follow

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/platform"
)

// crowded is a store that counts how many reads are under way at a time.
type crowded struct {
	mu        sync.Mutex // guards the fields below
	now, most int
}

func (c *crowded) Read(_, part, _, _ string) ([]platform.Row, int64, error) {
	c.mu.Lock()
	c.now++
	c.most = max(c.most, c.now)
	c.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now--
	version, err := strconv.ParseInt(part, 10, 64)
	return []platform.Row{{Part: part}}, version + 7, err
}

func (c *crowded) Watch(string, int64, time.Duration) ([]platform.Row, int64, error) {
	return nil, 0, nil
}

// collector keeps the rows that it is given.
type collector struct{ rows []platform.Row }

func (c *collector) Reset(rows []platform.Row)  { c.rows = rows }
func (c *collector) Change(rows []platform.Row) { c.rows = append(c.rows, rows...) }

// A host with a slow link reads a table of many partitions a few at a time, so that
// each answer comes in time, and goes on from the oldest version.
func TestReadsAreSpread(t *testing.T) {
	is := is.New(t)
	parts := make([]string, 17)
	for i := range parts {
		parts[i] = strconv.Itoa(i)
	}
	s, h := &crowded{}, &collector{}
	version, err := New(s, timer.New(), "t", parts, h).step(0, false)
	is.NoErr(err)
	is.Equal(version, int64(7))
	is.Equal(len(h.rows), len(parts))
	is.True(s.most <= readsAtOnce)
}

// partial is a store whose second partition is read before a change and its third after
// one.
type partial struct{ crowded }

func (p *partial) Watch(string, int64, time.Duration) ([]platform.Row, int64, error) {
	return []platform.Row{{Key: "missed"}}, 20, nil
}

// What was read whole is complete only up to the oldest version of its partitions, until
// the changes after that have been heard.
func TestVersionAfterWholeRead(t *testing.T) {
	is := is.New(t)
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	h := &collector{}
	f := New(&partial{}, clock, "t", []string{"3", "1", "9"}, h) // Read at versions 10, 8 and 16.
	is.Equal(f.Version(), int64(0))
	version, err := f.step(0, false)
	is.NoErr(err)
	f.confirm(clock.Now(), clock.Boot(), version)
	is.Equal(f.Version(), int64(8))
	var g errgroup.Group
	g.Go(func() error { return f.Run(ctx) })
	for end := time.Now().Add(10 * time.Second); f.Version() < 20 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	is.Equal(f.Version(), int64(20))
	cancel()
	is.NoErr(g.Wait())
}

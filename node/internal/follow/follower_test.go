package follow

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

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

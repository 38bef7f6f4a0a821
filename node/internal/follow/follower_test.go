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

// countingStore is a Store that counts concurrent reads. It returns the name of a
// partition plus 7 as the version of its rows.
type countingStore struct {
	mu                  sync.Mutex // guards the fields below
	reading, maxReading int
}

func (s *countingStore) Read(_, part, _, _ string) ([]platform.Row, int64, error) {
	s.mu.Lock()
	s.reading++
	s.maxReading = max(s.maxReading, s.reading)
	s.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reading--
	version, err := strconv.ParseInt(part, 10, 64)
	return []platform.Row{{Part: part}}, version + 7, err
}

func (s *countingStore) Watch(string, int64, time.Duration) ([]platform.Row, int64, error) {
	return nil, 0, nil
}

// collector is a Handler that keeps the rows it receives.
type collector struct{ rows []platform.Row }

func (c *collector) Reset(rows []platform.Row)  { c.rows = rows }
func (c *collector) Change(rows []platform.Row) { c.rows = append(c.rows, rows...) }

// A full read has a bounded number of partition reads under way, since all of them would
// time out on a host with a slow link. Its version is the lowest of the partitions'.
func TestConcurrentReadsAreLimited(t *testing.T) {
	is := is.New(t)
	parts := make([]string, 17)
	for i := range parts {
		parts[i] = strconv.Itoa(i)
	}
	s, h := &countingStore{}, &collector{}
	version, _, err := New(s, timer.New(), "t", parts, h).poll(0, false)
	is.NoErr(err)
	is.Equal(version, int64(7))
	is.Equal(len(h.rows), len(parts))
	is.True(s.maxReading <= maxConcurrentReads)
}

// hungStore is a Store whose reads fail after a time.
type hungStore struct{ countingStore }

// hungReadTime is the time after which a read of a hungStore fails.
const hungReadTime = 100 * time.Millisecond

func (s *hungStore) Read(string, string, string, string) ([]platform.Row, int64, error) {
	time.Sleep(hungReadTime)
	return nil, 0, &platform.LostError{}
}

// A full read from a store that doesn't answer fails with the first partitions, so that it
// can be tried again, and doesn't wait for the others one after another.
func TestFailedReadOutlastsOneCall(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	_, _, err := New(&hungStore{}, timer.New(), "t", make([]string, 17), &collector{}).poll(0, false)
	is.True(err != nil)
	is.True(time.Since(began) < 2*hungReadTime)
}

// unevenStore is a Store whose Watch returns a change that is newer than some of the
// partitions were when they were read.
type unevenStore struct{ countingStore }

func (s *unevenStore) Watch(string, int64, time.Duration) ([]platform.Row, int64, error) {
	return []platform.Row{{Key: "missed"}}, 20, nil
}

// After a full read, the handler has all changes only up to the lowest version at which
// a partition was read. Later changes may be missing until a watch has returned them.
func TestVersionAfterWholeRead(t *testing.T) {
	is := is.New(t)
	clock := timer.New()
	ctx, cancel := context.WithCancel(context.Background())
	h := &collector{}
	f := New(&unevenStore{}, clock, "t", []string{"3", "1", "9"}, h) // Read at versions 10, 8 and 16.
	is.Equal(f.Version(), int64(0))
	version, _, err := f.poll(0, false)
	is.NoErr(err)
	f.markSynced(clock.Now(), clock.Boot(), 0, version)
	is.Equal(f.Version(), int64(8))
	var g errgroup.Group
	g.Go(func() error { return f.Run(ctx) })
	for end := time.Now().Add(10 * time.Second); f.Version() < 20 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	is.Equal(f.Version(), int64(20))
	cancel()
	is.NoErr(g.Wait())
}

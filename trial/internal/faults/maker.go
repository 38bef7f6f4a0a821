package faults

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/trial/judge"
	"github.com/balsamford/balsamford/trial/site"
	"github.com/balsamford/balsamford/trial/wait"
)

const (
	// atOnce is how many faults there are at a time, at most.
	atOnce = 2
	// longPause is longer than every lease of the system.
	longPause = 12 * time.Second
	// startTime is how long a program may need until it can be asked to stop.
	startTime = 200 * time.Millisecond
)

// maker makes the same list of faults from the same seed.
type maker struct {
	site  *site.Site
	rand  *rand.Rand
	kinds []Kind
	out   io.Writer
	begin time.Time
	spent bool // a key has been withdrawn

	dir    string // for files
	balsam string // path of the program

	mu        sync.Mutex // guards the fields below
	busy      map[string]bool
	made      int
	published []judge.Published
	withdrawn map[string]time.Time
	limits    []judge.Limit
	exits     []judge.Exit
}

func newMaker(st *site.Site, s Settings, out io.Writer) *maker {
	kinds := s.Only
	if len(kinds) == 0 {
		kinds = Kinds()
	}
	return &maker{
		site: st, dir: s.Site.Dir, balsam: filepath.Join(s.Site.Binaries, "balsam"), kinds: kinds, out: out, begin: time.Now(), busy: make(map[string]bool), withdrawn: make(map[string]time.Time),
		rand: rand.New(rand.NewPCG(s.Seed, uint64(len(kinds)))), //nolint:gosec // Trials need the same numbers again.
	}
}

// run makes faults for d and undoes them all.
func (m *maker) run(ctx context.Context, d time.Duration) {
	limit, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(atOnce)
	for limit.Err() == nil {
		f := m.next()
		if f == nil {
			continue
		}
		g.Go(func() error { m.make(ctx, f); return nil })
		wait.For(limit, time.Duration(m.rand.IntN(1500))*time.Millisecond)
	}
	_ = g.Wait()
}

// fault is one fault: what begins it, how long it lasts, what ends it.
type fault struct {
	text   string
	target []string // there is one fault of each target at a time
	begin  func(ctx context.Context) error
	last   time.Duration
	end    func(ctx context.Context) error
}

// make makes one fault and undoes it.
func (m *maker) make(ctx context.Context, f *fault) {
	if !m.take(f.target) {
		return
	}
	defer m.free(f.target)
	m.say(f.text, f.begin(ctx))
	wait.For(ctx, f.last)
	if f.end == nil {
		return
	}
	m.say("end of: "+f.text, f.end(ctx))
	wait.For(ctx, startTime)
}

func (m *maker) take(targets []string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range targets {
		if m.busy[t] {
			return false
		}
	}
	for _, t := range targets {
		m.busy[t] = true
	}
	m.made++
	return true
}

func (m *maker) free(targets []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range targets {
		delete(m.busy, t)
	}
}

func (m *maker) say(text string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		text += " (failed: " + err.Error() + ")"
	}
	_, _ = fmt.Fprintf(m.out, "%7.2fs %s\n", time.Since(m.begin).Seconds(), text)
}

// next returns the next fault of the list, or nil if it has no target here.
func (m *maker) next() *fault {
	switch m.kinds[m.rand.IntN(len(m.kinds))] {
	case Kill:
		return m.kill()
	case Pause:
		return m.pause()
	case Replace:
		return m.replace()
	case Host:
		return m.host()
	case Platform:
		return m.platform()
	case Endpoint:
		return m.endpoint()
	case Rack:
		return m.rack()
	case Leave:
		return m.leave()
	case Cut:
		return m.cut()
	case Zone:
		return m.zone()
	case Region:
		return m.region()
	case Operate:
		return m.operate()
	case Limit:
		return m.limit()
	}
	return nil
}

// between returns a duration from lo to hi.
func (m *maker) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(m.rand.Int64N(int64(hi-lo)))
}

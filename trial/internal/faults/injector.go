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
	// maxConcurrent is the maximum number of faults active at a time.
	maxConcurrent = 2
	// longPause is longer than every lease of the system.
	longPause = 12 * time.Second
	// startupTime is how long a started program may need until it handles SIGTERM.
	startupTime = 200 * time.Millisecond
)

// injector draws faults from a random generator and injects them. The same seed,
// kinds and deployment give the same sequence of faults.
type injector struct {
	site         *site.Site
	rand         *rand.Rand
	kinds        []Kind
	out          io.Writer
	started      time.Time
	keyWithdrawn bool // a withdrawal has been drawn; there is at most one in a trial

	dir        string // for files passed to balsam
	balsamPath string // path of the program balsam

	mu            sync.Mutex // guards the fields below
	activeTargets map[string]bool
	injected      int
	published     []judge.Published
	withdrawn     map[string]time.Time
	limits        []judge.Limit
	exits         []judge.Exit
}

func newInjector(st *site.Site, s Settings, out io.Writer) *injector {
	kinds := s.Only
	if len(kinds) == 0 {
		kinds = Kinds()
	}
	return &injector{
		site: st, dir: s.Site.Dir, balsamPath: filepath.Join(s.Site.Binaries, "balsam"), kinds: kinds, out: out, started: time.Now(), activeTargets: make(map[string]bool), withdrawn: make(map[string]time.Time),
		rand: rand.New(rand.NewPCG(s.Seed, uint64(len(kinds)))), //nolint:gosec // Trials must be reproducible from their seed.
	}
}

// run injects faults for d, and returns after all have been undone.
func (inj *injector) run(ctx context.Context, d time.Duration) {
	runCtx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxConcurrent)
	for runCtx.Err() == nil {
		f := inj.next()
		if f == nil {
			continue
		}
		g.Go(func() error { inj.inject(ctx, f); return nil })
		wait.For(runCtx, time.Duration(inj.rand.IntN(1500))*time.Millisecond)
	}
	_ = g.Wait()
}

// fault is one fault, with the functions that begin it and undo it. A nil undo
// means that there is nothing to undo.
type fault struct {
	description string
	targets     []string // each target has at most one active fault
	begin       func(ctx context.Context) error
	duration    time.Duration
	undo        func(ctx context.Context) error
}

// inject begins a fault, waits for its duration and undoes it. It skips the
// fault if one of its targets already has one.
func (inj *injector) inject(ctx context.Context, f *fault) {
	if !inj.claim(f.targets) {
		return
	}
	defer inj.release(f.targets)
	inj.print(f.description, f.begin(ctx))
	wait.For(ctx, f.duration)
	if f.undo == nil {
		return
	}
	inj.print("end of: "+f.description, f.undo(ctx))
	wait.For(ctx, startupTime)
}

// claim marks the targets as having an active fault, and reports false if one of
// them already has one.
func (inj *injector) claim(targets []string) bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	for _, t := range targets {
		if inj.activeTargets[t] {
			return false
		}
	}
	for _, t := range targets {
		inj.activeTargets[t] = true
	}
	inj.injected++
	return true
}

func (inj *injector) release(targets []string) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	for _, t := range targets {
		delete(inj.activeTargets, t)
	}
}

func (inj *injector) print(text string, err error) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if err != nil {
		text += " (failed: " + err.Error() + ")"
	}
	_, _ = fmt.Fprintf(inj.out, "%7.2fs %s\n", time.Since(inj.started).Seconds(), text)
}

// next returns the next fault of the sequence, or nil if this deployment has no
// target for it.
func (inj *injector) next() *fault {
	switch inj.kinds[inj.rand.IntN(len(inj.kinds))] {
	case Kill:
		return inj.kill()
	case Pause:
		return inj.pause()
	case Replace:
		return inj.replace()
	case Host:
		return inj.host()
	case Platform:
		return inj.platform()
	case Endpoint:
		return inj.endpoint()
	case Rack:
		return inj.rack()
	case Leave:
		return inj.leave()
	case Cut:
		return inj.cut()
	case Zone:
		return inj.zone()
	case Region:
		return inj.region()
	case Operate:
		return inj.operate()
	case Limit:
		return inj.limit()
	}
	return nil
}

// between returns a random duration from lo up to but not including hi.
func (inj *injector) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(inj.rand.Int64N(int64(hi-lo)))
}

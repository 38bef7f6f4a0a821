package learn

import (
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

const (
	// minSamples is how many samples are needed before a declaration is
	// corrected.
	minSamples = 8
	// maxJobs bounds the names that are remembered.
	maxJobs = 4096

	// Processors granted lie between these multiples of what is declared, at
	// a quantile of what was used. Memory is never granted less than
	// declared, because a task that runs out of it fails.
	sizeQuantile = 0.75
	leastSize    = 0.5
	mostSize     = 2.0

	// Run times expected lie between these multiples of what is declared.
	timeQuantile = 0.75
	leastTime    = 0.25
	mostTime     = 8.0
)

// Learner remembers jobs by team and name. Its methods may be called
// concurrently.
type Learner struct {
	mu   sync.Mutex // guards jobs and what they hold
	jobs map[job]*history
}

type job struct{ team, name string }

type history struct{ cpu, mem, time series }

// New returns a learner that knows nothing.
func New() *Learner { return &Learner{jobs: make(map[job]*history)} }

// Used notes what a task of a job used, against what it declared.
func (l *Learner) Used(team, name string, declared, used wire.Needs) {
	if name == "" || declared.CPU <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history(team, name)
	h.cpu.add(float64(used.CPU) / float64(declared.CPU))
	if declared.Mem > 0 {
		h.mem.add(float64(used.Mem) / float64(declared.Mem))
	}
}

// Ran notes how long a task of a job ran, against what it declared.
func (l *Learner) Ran(team, name string, declared, ran time.Duration) {
	if name == "" || declared <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history(team, name).time.add(ran.Seconds() / declared.Seconds())
}

// history returns what is known of a job. If too many are known, any one is
// forgotten.
func (l *Learner) history(team, name string) *history {
	k := job{team, name}
	h := l.jobs[k]
	if h != nil {
		return h
	}
	if len(l.jobs) >= maxJobs {
		for old := range l.jobs {
			delete(l.jobs, old)
			break
		}
	}
	h = &history{}
	l.jobs[k] = h
	return h
}

// Size returns what to grant a task that declares so much.
func (l *Learner) Size(team, name string, declared wire.Needs) wire.Needs {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.jobs[job{team, name}]
	if h == nil {
		return declared
	}
	n := declared
	if h.cpu.n >= minSamples {
		n.CPU = scale(n.CPU, h.cpu.quantile(sizeQuantile), leastSize, mostSize)
	}
	if h.mem.n >= minSamples {
		n.Mem = scale(n.Mem, h.mem.quantile(sizeQuantile), 1, mostSize)
	}
	return n
}

// Runtime returns how long a task that declares so much is expected to run.
func (l *Learner) Runtime(team, name string, declared time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.jobs[job{team, name}]
	if h == nil || h.time.n < minSamples {
		return declared
	}
	return time.Duration(scale(int64(declared), h.time.quantile(timeQuantile), leastTime, mostTime))
}

func scale(n int64, ratio, least, most float64) int64 {
	return int64(float64(n) * min(max(ratio, least), most))
}

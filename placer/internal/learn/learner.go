package learn

import (
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

const (
	// minSamples is the number of samples required before a declaration is
	// corrected.
	minSamples = 8
	// maxJobs is the maximum number of jobs whose history is kept.
	maxJobs = 4096

	// The granted CPU is the sizeQuantile of the usage, but between
	// minSizeRatio and maxSizeRatio times the declared CPU. Granted memory is
	// never less than declared, because a task that runs out of memory fails.
	sizeQuantile = 0.75
	minSizeRatio = 0.5
	maxSizeRatio = 2.0

	// The expected run time is the timeQuantile of the run times, but between
	// minTimeRatio and maxTimeRatio times the declared run time.
	timeQuantile = 0.75
	minTimeRatio = 0.25
	maxTimeRatio = 8.0
)

// Learner keeps the history of jobs, identified by team and name. Its methods
// may be called concurrently.
type Learner struct {
	mu   sync.Mutex // guards jobs and the histories in it
	jobs map[jobKey]*history
}

type jobKey struct{ team, name string }

type history struct{ cpu, mem, runtime samples }

// New returns a learner without any history.
func New() *Learner { return &Learner{jobs: make(map[jobKey]*history)} }

// AddUsage records the declared and the used resources of a task of a job.
func (l *Learner) AddUsage(team, name string, declared, used wire.Needs) {
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

// AddRuntime records the declared and the actual run time of a task of a job.
func (l *Learner) AddRuntime(team, name string, declared, ran time.Duration) {
	if name == "" || declared <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history(team, name).runtime.add(ran.Seconds() / declared.Seconds())
}

// history returns the history of a job, creating it if necessary. If there are
// too many, it evicts an arbitrary one.
func (l *Learner) history(team, name string) *history {
	k := jobKey{team, name}
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

// Size returns the resources to grant to a task with these declared resources.
func (l *Learner) Size(team, name string, declared wire.Needs) wire.Needs {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.jobs[jobKey{team, name}]
	if h == nil {
		return declared
	}
	n := declared
	if h.cpu.total >= minSamples {
		n.CPU = scale(n.CPU, h.cpu.quantile(sizeQuantile), minSizeRatio, maxSizeRatio)
	}
	if h.mem.total >= minSamples {
		n.Mem = scale(n.Mem, h.mem.quantile(sizeQuantile), 1, maxSizeRatio)
	}
	return n
}

// Runtime returns the expected run time of a task with this declared run time.
func (l *Learner) Runtime(team, name string, declared time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.jobs[jobKey{team, name}]
	if h == nil || h.runtime.total < minSamples {
		return declared
	}
	return time.Duration(scale(int64(declared), h.runtime.quantile(timeQuantile), minTimeRatio, maxTimeRatio))
}

// scale returns n times ratio, where ratio is clamped to [least, most].
func scale(n int64, ratio, least, most float64) int64 {
	return int64(float64(n) * min(max(ratio, least), most))
}

package setup

import (
	"math"
	"runtime"
	"runtime/debug"
)

const (
	// minGrowth is the minimum of Growth in percent. Below it the process would
	// spend most of its time on garbage collection.
	minGrowth = 10
	megabyte  = 1 << 20 // bytes
)

// Limits bounds the resources that a process uses of its host. It is the table
// "process" of a settings file.
type Limits struct {
	Cores  int `toml:"cores"`  // GOMAXPROCS; 0 means all processors
	Growth int `toml:"growth"` // heap growth between two garbage collections in percent, like GOGC
	Memory int `toml:"memory"` // soft memory limit in MiB, like GOMEMLIMIT; 0 means none
}

// DefaultLimits returns limits for a small host. More than two cores cause
// wakeups of idle threads and are useful only at request rates far above those
// of one host.
func DefaultLimits() Limits { return Limits{Cores: 2, Growth: 50} }

// Check returns the faults of the limits.
func (l Limits) Check() []Fault {
	var faults []Fault
	if l.Cores < 0 {
		faults = append(faults, Fault{Key: "process.cores", Text: "below zero; write the number of processors, or 0 for all"})
	}
	if l.Growth < minGrowth {
		faults = append(faults, Fault{Key: "process.growth", Text: "below 10 percent; the process would collect garbage all the time"})
	}
	if l.Memory < 0 {
		faults = append(faults, Fault{Key: "process.memory", Text: "below zero; write megabytes, or 0 for no bound"})
	}
	return faults
}

// Apply sets the limits for the current process. It never sets more processors
// than the host has.
func (l Limits) Apply() {
	cores := runtime.NumCPU()
	if l.Cores > 0 {
		cores = min(cores, l.Cores)
	}
	runtime.GOMAXPROCS(cores)
	debug.SetGCPercent(l.Growth)
	limit := int64(math.MaxInt64)
	if l.Memory > 0 {
		limit = int64(l.Memory) * megabyte
	}
	debug.SetMemoryLimit(limit)
}

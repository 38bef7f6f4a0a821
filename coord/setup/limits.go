package setup

import (
	"math"
	"runtime"
	"runtime/debug"
)

const (
	// smallGrowth is the least useful Growth, in percent.
	smallGrowth = 10
	megabyte    = 1 << 20
)

// Limits bounds what a process takes of its host. They are the table
// "process" of a settings file.
type Limits struct {
	Cores  int `toml:"cores"`  // processors used at a time; 0 is all
	Growth int `toml:"growth"` // percent by which the heap grows between two collections
	Memory int `toml:"memory"` // megabytes above which collections come more often; 0 is no bound
}

// DefaultLimits returns limits for a small host. More cores than two cost
// wakeups of idle threads and serve only rates far above one host's.
func DefaultLimits() Limits { return Limits{Cores: 2, Growth: 50} }

// Check returns what is wrong with the limits.
func (l Limits) Check() []Fault {
	var faults []Fault
	if l.Cores < 0 {
		faults = append(faults, Fault{Key: "process.cores", Text: "below zero; write the number of processors, or 0 for all"})
	}
	if l.Growth < smallGrowth {
		faults = append(faults, Fault{Key: "process.growth", Text: "below 10 percent; the process would collect garbage all the time"})
	}
	if l.Memory < 0 {
		faults = append(faults, Fault{Key: "process.memory", Text: "below zero; write megabytes, or 0 for no bound"})
	}
	return faults
}

// Apply puts the limits in force for this process. It doesn't raise the
// number of processors above what the host has.
func (l Limits) Apply() {
	cores := runtime.NumCPU()
	if l.Cores > 0 {
		cores = min(cores, l.Cores)
	}
	runtime.GOMAXPROCS(cores)
	debug.SetGCPercent(l.Growth)
	bound := int64(math.MaxInt64)
	if l.Memory > 0 {
		bound = int64(l.Memory) * megabyte
	}
	debug.SetMemoryLimit(bound)
}

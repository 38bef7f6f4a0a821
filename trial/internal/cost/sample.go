package cost

import (
	"time"

	"github.com/balsamford/balsamford/trial/cell"
	"github.com/balsamford/balsamford/trial/site"
)

// sample is the total resource usage of the processes of each role at one time.
type sample struct {
	cpuTime   map[string]time.Duration
	resident  map[string]int64 // bytes
	processes map[string]int
	loopback  int64 // bytes received on the loopback interface
}

// measurement is the usage of a deployment between two samples.
type measurement struct {
	before, after *sample
	span          time.Duration
}

func takeSample(st *site.Site) (*sample, error) {
	s := &sample{cpuTime: make(map[string]time.Duration), resident: make(map[string]int64), processes: make(map[string]int)}
	for _, role := range []string{cell.RoleEntry, cell.RolePlacer, cell.RolePlatform, cell.RoleEndpoints} {
		for _, p := range st.Cell().ByRole(role) {
			u, err := ReadUsage(p.PID())
			if err != nil {
				return nil, err
			}
			s.cpuTime[role] += u.CPUTime
			s.resident[role] += u.Resident
			s.processes[role]++
		}
	}
	var err error
	s.loopback, err = LoopbackBytes()
	return s, err
}

// cpuPercent returns the average processor time of a process of the role, in
// percent of one core.
func (m *measurement) cpuPercent(role string) float64 {
	used := m.after.cpuTime[role] - m.before.cpuTime[role]
	return 100 * float64(used) / float64(m.span) / float64(m.after.processes[role])
}

// memoryMB returns the average resident memory of a process of the role, in
// mebibytes.
func (m *measurement) memoryMB(role string) float64 {
	return float64(m.after.resident[role]) / float64(m.after.processes[role]) / (1 << 20)
}

// loopbackKBPerSecond returns the traffic on the loopback interface, in
// kibibytes per second.
func (m *measurement) loopbackKBPerSecond() float64 {
	return float64(m.after.loopback-m.before.loopback) / 1024 / m.span.Seconds()
}

package pace

import (
	"time"

	"github.com/balsamford/balsamford/trial/cell"
	"github.com/balsamford/balsamford/trial/internal/cost"
)

// cpuTimes returns the processor time used so far by all processes of each role.
func cpuTimes(c *cell.Cell) map[string]time.Duration {
	used := make(map[string]time.Duration)
	for _, p := range c.Processes() {
		if u, err := cost.ReadUsage(p.PID()); err == nil {
			used[p.Role()] += u.CPUTime
		}
	}
	return used
}

// perRequest returns the processor time divided by n requests, 0 if n is 0.
func perRequest(used time.Duration, n int) time.Duration {
	if n == 0 {
		return 0
	}
	return (used / time.Duration(n)).Round(time.Microsecond)
}

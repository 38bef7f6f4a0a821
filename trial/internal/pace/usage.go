package pace

import (
	"time"

	"github.com/balsamford/balsamford/trial/cell"
	"github.com/balsamford/balsamford/trial/internal/cost"
)

// usage returns the processor time of all processes, by role.
func usage(c *cell.Cell) map[string]time.Duration {
	used := make(map[string]time.Duration)
	for _, p := range c.Processes() {
		if u, err := cost.ReadUsage(p.PID()); err == nil {
			used[p.Role()] += u.CPUTime
		}
	}
	return used
}

func each(used time.Duration, n int) time.Duration {
	if n == 0 {
		return 0
	}
	return (used / time.Duration(n)).Round(time.Microsecond)
}

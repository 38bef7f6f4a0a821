package cost

import (
	"time"

	"github.com/balsamford/balsamford/trial/cell"
	"github.com/balsamford/balsamford/trial/site"
)

// sample is the usage of all processes at one moment, by role.
type sample struct {
	processor map[string]time.Duration
	resident  map[string]int64 // bytes
	count     map[string]int
	loopback  int64 // bytes
}

// row is what one size used between two samples.
type row struct {
	before, after *sample
	span          time.Duration
}

func take(st *site.Site) (*sample, error) {
	s := &sample{processor: make(map[string]time.Duration), resident: make(map[string]int64), count: make(map[string]int)}
	for _, role := range []string{cell.RoleEntry, cell.RolePlacer, cell.RolePlatform, cell.RoleEndpoints} {
		for _, p := range st.Cell().ByRole(role) {
			u, err := ReadUsage(p.PID())
			if err != nil {
				return nil, err
			}
			s.processor[role] += u.CPUTime
			s.resident[role] += u.Resident
			s.count[role]++
		}
	}
	var err error
	s.loopback, err = LoopbackBytes()
	return s, err
}

// cpu returns percent of a core that one process of the role used.
func (r *row) cpu(role string) float64 {
	used := r.after.processor[role] - r.before.processor[role]
	return 100 * float64(used) / float64(r.span) / float64(r.after.count[role])
}

// memory returns the resident megabytes of one process of the role.
func (r *row) memory(role string) float64 {
	return float64(r.after.resident[role]) / float64(r.after.count[role]) / (1 << 20)
}

// kilobytes returns what the loopback carried in a second.
func (r *row) kilobytes() float64 {
	return float64(r.after.loopback-r.before.loopback) / 1024 / r.span.Seconds()
}

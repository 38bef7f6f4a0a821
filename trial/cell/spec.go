package cell

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// Spec says how large a deployment is.
type Spec struct {
	Zones     []string
	Hosts     int // entry hosts of each zone
	Executors int // of each zone
	Workers   int // of each zone
	Rack      int // workers of one rack, and executors of one group
	Executor  wire.Needs
	Worker    wire.Needs
	Fence     string        // of all endpoints; "endpoint" if empty
	HostLag   time.Duration // of the platform's list of hosts
	ObjectLag time.Duration // of the platform's object store
	UsageLag  time.Duration // of the endpoints' reports
	Level     string        // of the logs
}

// Small returns a deployment for the demo and short trials: two zones with
// two entry hosts each.
func Small() Spec {
	return Spec{
		Zones: []string{"sul-a", "sul-b"}, Hosts: 2, Executors: 4, Workers: 6, Rack: 6,
		Executor: wire.Needs{Slots: 8, Conns: 60},
		Worker:   wire.Needs{CPU: 32000, Mem: 128 << 30},
		HostLag:  500 * time.Millisecond, ObjectLag: 200 * time.Millisecond, UsageLag: time.Second, Level: "info",
	}
}

// Today returns a deployment of today's sizes: four zones with two entry
// hosts each, and about 50 executors and 50 workers in all.
func Today() Spec {
	s := Small()
	s.Zones = []string{"sul-a", "sul-b", "sul-c", "sul-d"}
	s.Executors, s.Workers = 13, 12
	return s
}

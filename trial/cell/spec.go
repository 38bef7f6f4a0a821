package cell

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// Spec describes the size and the delays of a deployment.
type Spec struct {
	Zones     []string
	Hosts     int           // entry hosts in each zone
	Executors int           // in each zone
	Workers   int           // in each zone
	Rack      int           // endpoints in each rack
	Executor  wire.Needs    // capacity of each executor
	Worker    wire.Needs    // capacity of each worker
	Fence     string        // fencing mode of all endpoints; "endpoint" if empty
	HostLag   time.Duration // delay of the platform's host list
	ObjectLag time.Duration // delay of the platform's object store
	UsageLag  time.Duration // delay of the endpoints' usage reports
	Level     string        // log level
}

// Small returns the deployment of the demo and of short trials: two zones, each
// with two entry hosts, four executors and six workers.
func Small() Spec {
	return Spec{
		Zones: []string{"sul-a", "sul-b"}, Hosts: 2, Executors: 4, Workers: 6, Rack: 6,
		Executor: wire.Needs{Slots: 8, Conns: 60},
		Worker:   wire.Needs{CPU: 32000, Mem: 128 << 30},
		HostLag:  500 * time.Millisecond, ObjectLag: 200 * time.Millisecond, UsageLag: time.Second, Level: "info",
	}
}

// Today returns a deployment of the users' present size: four zones with two
// entry hosts each, 52 executors and 48 workers in all.
func Today() Spec {
	s := Small()
	s.Zones = []string{"sul-a", "sul-b", "sul-c", "sul-d"}
	s.Executors, s.Workers = 13, 12
	return s
}

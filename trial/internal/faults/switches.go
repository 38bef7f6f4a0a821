package faults

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/standin/engine"
)

// platformFault is one state of the platform's switches.
type platformFault struct {
	name   string
	faults store.Faults
}

func (m *maker) platform() *fault {
	all := []platformFault{
		{"down", store.Faults{Down: true}},
		{"slow", store.Faults{Slow: 800 * time.Millisecond}},
		{"losing answers", store.Faults{Lose: true}},
		{"losing some answers", store.Faults{Next: 20}},
		{"dropping some writes", store.Faults{Drop: 20}},
		{"writing late", store.Faults{Late: 1500 * time.Millisecond}},
		{"lagging", store.Faults{Lag: 2 * time.Second, List: 3 * time.Second}},
	}
	f := all[m.rand.IntN(len(all))]
	return &fault{
		text: "platform is " + f.name, target: []string{"platform"}, last: m.between(time.Second, 8*time.Second),
		begin: func(context.Context) error { return m.site.SetPlatformFaults(f.faults) },
		end:   func(context.Context) error { return m.site.SetPlatformFaults(store.Faults{}) },
	}
}

// endpointFault is one state of an endpoint's switches.
type endpointFault struct {
	name   string
	faults engine.Faults
}

func (m *maker) endpoint() *fault {
	all := []endpointFault{
		{"down", engine.Faults{Down: true}},
		{"slow", engine.Faults{Slow: 700 * time.Millisecond}},
		{"losing answers", engine.Faults{Lose: true}},
		{"losing some answers", engine.Faults{Next: 5}},
		{"doubling answers", engine.Faults{Double: true}},
		{"cutting answers short", engine.Faults{Short: true}},
		{"frozen", engine.Faults{Freeze: true}},
		{"failing everything", engine.Faults{Fail: true}},
	}
	f := all[m.rand.IntN(len(all))]
	return m.switched(f.name, f.faults, m.between(time.Second, 6*time.Second))
}

func (m *maker) leave() *fault {
	f := engine.Faults{Leaving: true, Quiet: m.rand.IntN(3) == 0}
	return m.switched("leaving", f, m.between(4*time.Second, 8*time.Second))
}

func (m *maker) switched(name string, f engine.Faults, last time.Duration) *fault {
	list := m.site.Cell().Endpoints()
	e := list[m.rand.IntN(len(list))]
	return &fault{
		text: e.Kind + " " + e.Address + " in " + e.Zone + " is " + name, target: []string{e.Address}, last: last,
		begin: func(context.Context) error { return m.site.SetEndpointFaults(e.Address, f) },
		end:   func(context.Context) error { return m.site.SetEndpointFaults(e.Address, engine.Faults{}) },
	}
}

func (m *maker) cut() *fault {
	zones := m.site.Cell().Zones()
	zone := zones[m.rand.IntN(len(zones))]
	return &fault{
		text: "cut off zone " + zone, target: []string{"cut"}, last: m.between(3*time.Second, 15*time.Second),
		begin: func(context.Context) error { return m.site.Partition([]string{zone}, true) },
		end:   func(context.Context) error { return m.site.Partition([]string{zone}, false) },
	}
}

func (m *maker) region() *fault {
	zones := slices.Clone(m.site.Cell().Zones())
	m.rand.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	zones = zones[:len(zones)/2]
	if len(zones) == 0 {
		return nil
	}
	return &fault{
		text: "cut off zones " + strings.Join(zones, ", "), target: []string{"cut"}, last: m.between(5*time.Second, 20*time.Second),
		begin: func(context.Context) error { return m.site.Partition(zones, true) },
		end:   func(context.Context) error { return m.site.Partition(zones, false) },
	}
}

package faults

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/standin/engine"
)

// platformFault is a named setting of the platform's fault switches.
type platformFault struct {
	name   string
	faults store.Faults
}

func (inj *injector) platform() *fault {
	states := []platformFault{
		{"down", store.Faults{Down: true}},
		{"slow", store.Faults{Slow: 800 * time.Millisecond}},
		{"losing answers", store.Faults{Lose: true}},
		{"losing some answers", store.Faults{Next: 20}},
		{"dropping some writes", store.Faults{Drop: 20}},
		{"writing late", store.Faults{Late: 1500 * time.Millisecond}},
		{"lagging", store.Faults{Lag: 2 * time.Second, List: 3 * time.Second}},
	}
	state := states[inj.rand.IntN(len(states))]
	return &fault{
		description: "platform is " + state.name, targets: []string{"platform"}, duration: inj.between(time.Second, 8*time.Second),
		begin: func(context.Context) error { return inj.site.SetPlatformFaults(state.faults) },
		undo:  func(context.Context) error { return inj.site.SetPlatformFaults(store.Faults{}) },
	}
}

// endpointFault is a named setting of an endpoint's fault switches.
type endpointFault struct {
	name   string
	faults engine.Faults
}

func (inj *injector) endpoint() *fault {
	states := []endpointFault{
		{"down", engine.Faults{Down: true}},
		{"slow", engine.Faults{Slow: 700 * time.Millisecond}},
		{"losing answers", engine.Faults{Lose: true}},
		{"losing some answers", engine.Faults{Next: 5}},
		{"doubling answers", engine.Faults{Double: true}},
		{"cutting answers short", engine.Faults{Short: true}},
		{"frozen", engine.Faults{Freeze: true}},
		{"failing everything", engine.Faults{Fail: true}},
	}
	state := states[inj.rand.IntN(len(states))]
	return inj.endpointSwitch(state.name, state.faults, inj.between(time.Second, 6*time.Second))
}

func (inj *injector) leave() *fault {
	faults := engine.Faults{Leaving: true, Quiet: inj.rand.IntN(3) == 0}
	return inj.endpointSwitch("leaving", faults, inj.between(4*time.Second, 8*time.Second))
}

func (inj *injector) endpointSwitch(name string, faults engine.Faults, duration time.Duration) *fault {
	endpoints := inj.site.Cell().Endpoints()
	e := endpoints[inj.rand.IntN(len(endpoints))]
	return &fault{
		description: e.Kind + " " + e.Address + " in " + e.Zone + " is " + name, targets: []string{e.Address}, duration: duration,
		begin: func(context.Context) error { return inj.site.SetEndpointFaults(e.Address, faults) },
		undo:  func(context.Context) error { return inj.site.SetEndpointFaults(e.Address, engine.Faults{}) },
	}
}

func (inj *injector) cut() *fault {
	zones := inj.site.Cell().Zones()
	zone := zones[inj.rand.IntN(len(zones))]
	return &fault{
		description: "cut off zone " + zone, targets: []string{"cut"}, duration: inj.between(3*time.Second, 15*time.Second),
		begin: func(context.Context) error { return inj.site.Partition([]string{zone}, true) },
		undo:  func(context.Context) error { return inj.site.Partition([]string{zone}, false) },
	}
}

func (inj *injector) region() *fault {
	zones := slices.Clone(inj.site.Cell().Zones())
	inj.rand.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	zones = zones[:len(zones)/2]
	if len(zones) == 0 {
		return nil
	}
	return &fault{
		description: "cut off zones " + strings.Join(zones, ", "), targets: []string{"cut"}, duration: inj.between(5*time.Second, 20*time.Second),
		begin: func(context.Context) error { return inj.site.Partition(zones, true) },
		undo:  func(context.Context) error { return inj.site.Partition(zones, false) },
	}
}

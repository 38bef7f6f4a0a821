package config

import "github.com/balsamford/balsamford/coord/parts"

const (
	maxTasks = 10_000_000
	maxCPU   = 1000 * maxTasks // thousandths of a processor
	maxMem   = 1 << 56         // bytes
)

// Limit is the most that a team may have running at once across the fleet. A
// nil resource is unlimited; with 0, nothing that needs the resource can run.
type Limit struct {
	Name  string `toml:"-"`
	Team  string `toml:"team"`
	Tasks *int64 `toml:"tasks,omitempty"` // running tasks
	CPU   *int64 `toml:"cpu,omitempty"`   // thousandths of a processor
	Mem   *int64 `toml:"mem,omitempty"`   // bytes
	Accel *int64 `toml:"accel,omitempty"` // accelerators
	Slots *int64 `toml:"slots,omitempty"` // executor slots
	Note  string `toml:"note,omitempty"`
}

// resource is one of the resources that a Limit may bound.
type resource struct {
	name  string
	unit  string // as written in faults
	max   float64
	index int // of the resource in a parts.Amount
	field func(*Limit) **int64
}

var resources = []resource{
	{"tasks", "tasks", maxTasks, parts.Tasks, func(l *Limit) **int64 { return &l.Tasks }},
	{"cpu", "thousandths of a processor", maxCPU, parts.CPU, func(l *Limit) **int64 { return &l.CPU }},
	{"mem", "bytes of memory", maxMem, parts.Mem, func(l *Limit) **int64 { return &l.Mem }},
	{"accel", "accelerators", maxTasks, parts.Accel, func(l *Limit) **int64 { return &l.Accel }},
	{"slots", "slots", maxTasks, parts.Slots, func(l *Limit) **int64 { return &l.Slots }},
}

// Ref implements Object.
func (l *Limit) Ref() Ref { return Ref{TypeLimit, l.Name} }

func (l *Limit) references() []reference { return []reference{{"team", Ref{TypeTeam, l.Team}}} }

func (l *Limit) check() []problem {
	ps, named := checkNote(l.Note), false
	for _, m := range resources {
		if v := *m.field(l); v != nil {
			named = true
			ps = append(ps, checkRange(m.name, float64(*v), m.max)...)
		}
	}
	if !named {
		ps = append(ps, problem{"tasks", `limits nothing; write one or more of tasks, cpu, mem, accel and slots, like "tasks = 100"`})
	}
	return ps
}

// Bound returns the limit as a parts.Bound.
func (l *Limit) Bound() parts.Bound {
	var b parts.Bound
	for _, m := range resources {
		if v := *m.field(l); v != nil {
			b.Set(m.index, *v)
		}
	}
	return b
}

// blocksAll reports whether a team under the limit can't run anything: either
// no tasks, or neither executor slots nor worker processors.
func (l *Limit) blocksAll() bool {
	none := func(v *int64) bool { return v != nil && *v == 0 }
	return none(l.Tasks) || none(l.Slots) && none(l.CPU)
}

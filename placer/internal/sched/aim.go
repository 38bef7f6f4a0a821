package sched

// Aim is the objective that a policy optimizes for.
type Aim string

// AimWait favors short waiting times, AimShare favors keeping each team close
// to its fair share.
const (
	AimWait  Aim = "wait"
	AimShare Aim = "share"
)

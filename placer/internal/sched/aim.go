package sched

// Aim is what a policy weighs most.
type Aim string

// The aims. AimWait weighs waiting time most, AimShare the nearness of each
// team to its share.
const (
	AimWait  Aim = "wait"
	AimShare Aim = "share"
)

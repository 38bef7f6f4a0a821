package sched

// Policy holds the settings of operators. Its zero value is AimShare with equal
// weights and unbounded queues.
type Policy struct {
	Aim      Aim
	Teams    map[string]Team  // a team that isn't listed has weight 1
	Queues   map[string]Queue // a queue that isn't listed has rank 0 and no bound
	Headroom float64          // fraction of the workers' capacity that only urgent work and gangs may use
	Learn    bool             // whether declared sizes and run times are corrected from measurements
	Preempt  bool             // whether batch tasks may be checkpointed for urgent work
}

// Team holds the settings of one team.
type Team struct {
	Weight float64 // under contention, the team's share is Weight over the sum of weights
}

// Queue holds the settings of one queue.
type Queue struct {
	Rank  int // within a team, queues of higher rank are served first
	Bound int // maximum number of waiting requests; 0 means unbounded
}

func (p *Policy) weight(team string) float64 {
	if t, ok := p.Teams[team]; ok && t.Weight > 0 {
		return t.Weight
	}
	return 1
}

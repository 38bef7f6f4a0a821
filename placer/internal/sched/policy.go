package sched

// Policy is what operators set. Its zero value is AimShare with equal weights
// and unbounded queues.
type Policy struct {
	Aim      Aim
	Teams    map[string]Team  // a team that isn't named has weight 1
	Queues   map[string]Queue // a queue that isn't named has rank 0 and no bound
	Headroom float64          // part of the workers' capacity that only urgent work may use
	Learn    bool             // whether sizes and run times are corrected by what jobs really took
	Preempt  bool             // whether urgent work may checkpoint batch tasks
}

// Team is a team's part of a Policy.
type Team struct {
	Weight float64 // its share when all is full is Weight over the sum of weights
}

// Queue is a queue's part of a Policy.
type Queue struct {
	Rank  int // a team's work in a queue of higher rank goes first
	Bound int // most requests that may wait; 0 is no bound
}

func (p *Policy) weight(team string) float64 {
	if t, ok := p.Teams[team]; ok && t.Weight > 0 {
		return t.Weight
	}
	return 1
}

package admit

// team is the queue of one team's requests that wait for a slot.
type team struct {
	name         string
	waiting      []*ticket // oldest first
	inRoundRobin bool      // the team is in Gate.roundRobin
}

// ticket is one request that waits for a slot.
type ticket struct {
	team    *team
	ready   chan struct{} // closed when the slot is granted
	granted bool
}

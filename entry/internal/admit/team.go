package admit

// team holds one team's requests that wait for a place.
type team struct {
	name    string
	waiting []*ticket // oldest first
	queued  bool      // it is in the gate's turn list
}

// ticket is one request that waits for a place.
type ticket struct {
	team  *team
	ready chan struct{} // closed when the place is given
	given bool
}

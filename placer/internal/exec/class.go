package exec

import "github.com/balsamford/balsamford/coord/wire"

// class is what has a line of its own: requests of one class start in the
// order in which they came.
type class struct {
	team   string
	queue  string
	urgent bool
}

func classOf(r *wire.Request) class { return class{r.Team, r.Queue, r.Urgent} }

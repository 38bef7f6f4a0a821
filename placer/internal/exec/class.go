package exec

import "github.com/balsamford/balsamford/coord/wire"

// class identifies the requests that share a backlog. Requests of one class
// start in the order of their arrival.
type class struct {
	team   string
	queue  string
	urgent bool
}

func classOf(r *wire.Request) class { return class{r.Team, r.Queue, r.Urgent} }

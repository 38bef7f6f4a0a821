package pace

import "time"

// kind is what a request asks for.
type kind struct {
	work     time.Duration // on the endpoint
	deadline time.Duration
	again    bool   // a refused request is sent again at once until its deadline
	secret   string // key of the team that sends; all teams in turn if empty
}

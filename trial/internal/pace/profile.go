package pace

import "time"

// profile describes the requests of one stream.
type profile struct {
	work     time.Duration // running time on the endpoint
	deadline time.Duration
	retry    bool   // a refused request is retried after retryInterval, until its deadline
	secret   string // secret of the sending team's key; all teams in turn if empty
}

package route

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// Placer is one placer process as the settings name it.
type Placer struct {
	Name string
	Zone string
	Link string
}

// view is what is known of a placer. The table's lock guards it.
type view struct {
	Placer
	load     wire.Load
	at       time.Time // when load was asked for
	known    bool      // load has come at all
	failed   time.Time // last failure to reach it
	inflight int       // requests of this process that are there
	asked    time.Time // first request sent since the last word, zero if none
	probed   time.Time // since when the answer to a probe is awaited
}

package route

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// Placer is a placer process from the settings.
type Placer struct {
	Name string
	Zone string
	Link string
}

// placerState is the load and the health of a placer. It is guarded by Table.mu.
type placerState struct {
	Placer
	load            wire.Load
	requestedAt     time.Time // when load was requested
	loaded          bool      // a load has been received
	failedAt        time.Time // last failure to reach it; zero after a new load
	inflight        int       // requests of this process in progress at the placer
	unansweredSince time.Time // first request sent since the last answer; zero if there is none
	probeSentAt     time.Time // when the unanswered probe was queued; zero if there is none
}

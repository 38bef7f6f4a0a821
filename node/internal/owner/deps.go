package owner

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/follow"
	"github.com/balsamford/balsamford/platform"
)

// Store is the part of the platform's store that an owner uses.
type Store interface {
	follow.Store
	Write(w *platform.Write) (int64, error)
}

// StoreClock reads the store's clock.
type StoreClock interface {
	// ClockReading returns the last reading, and false if there is none yet.
	ClockReading() (platform.ClockReading, bool)
}

// BoardFollower keeps this host's replica of the board up to date by polling the store.
type BoardFollower interface {
	// SetGap sets the least time between two polls.
	SetGap(d time.Duration)
	// SyncedBoot returns when the replica was last known to be complete, in boot time
	// (timer.Service.Boot), which includes time spent suspended.
	SyncedBoot() time.Duration
	// Version returns the store version up to which the replica is complete.
	Version() int64
	// Failing reports whether the replica currently can't be updated.
	Failing() bool
}

// Configs provides what operators have stored.
type Configs interface {
	// Config returns the newest configuration, nil if there is none yet.
	Config() *model.Config
	// Evacuations returns the zones that are being evacuated, in order. The slice must not be
	// changed.
	Evacuations() []string
}

// TableFollower keeps this host's copy of a table up to date; follow.Follower implements it.
type TableFollower interface {
	// SyncedBoot returns when the copy was last known to be complete, in boot time.
	SyncedBoot() time.Duration
}

// Advisers queries the placement adviser, from this host or through another one.
type Advisers interface {
	// Ask sends a request that is expected to take estimate.
	Ask(step model.StepID, executors []string, estimate time.Duration) (*platform.Advice, error)
}

// Executor is a client for one executor.
type Executor interface {
	Start(o platform.StartOrder, timeout time.Duration) (time.Duration, error)
	Stop(o platform.StopOrder, timeout time.Duration) (time.Duration, error)
	Pace(o platform.PaceOrder, timeout time.Duration) (time.Duration, error)
	Watch(o platform.WatchOrder) (*platform.Report, error)
	// Poll is an immediate Watch on the connection used for orders, so that it
	// doesn't wait behind a long poll.
	Poll(o platform.WatchOrder) (*platform.Report, error)
	Close()
}

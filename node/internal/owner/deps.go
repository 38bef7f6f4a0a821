package owner

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/follow"
	"github.com/balsamford/balsamford/platform"
)

// Store is what an owner needs of the platform's store.
type Store interface {
	follow.Store
	Write(w *platform.Write) (int64, error)
}

// StoreClock reads the store's clock.
type StoreClock interface {
	// ClockReading returns the last reading, and false if there is none.
	ClockReading() (platform.ClockReading, bool)
}

// Pacer keeps the board up to date.
type Pacer interface {
	// SetGap sets how often.
	SetGap(d time.Duration)
	// Confirmed returns when the board was last known to be complete, on the clock
	// that includes suspensions.
	Confirmed() time.Duration
	// Version returns the version of the store up to which the board is complete.
	Version() int64
	// Failing reports whether the board can't be followed at present.
	Failing() bool
}

// Configs tells the configuration in force.
type Configs interface {
	// Config returns the newest configuration, nil if there is none yet.
	Config() *model.Config
}

// Advisers asks the placement adviser, here or through another host.
type Advisers interface {
	Ask(step model.StepID, executors []string, takes time.Duration) (*platform.Advice, error)
}

// Executor gives orders to one executor.
type Executor interface {
	Start(o platform.StartOrder, timeout time.Duration) (time.Duration, error)
	Stop(o platform.StopOrder, timeout time.Duration) (time.Duration, error)
	Pace(o platform.PaceOrder, timeout time.Duration) (time.Duration, error)
	Watch(o platform.WatchOrder) (*platform.Report, error)
	// Poll is a Watch on the connection of orders.
	Poll(o platform.WatchOrder) (*platform.Report, error)
	Close()
}

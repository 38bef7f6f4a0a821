package plan

import "time"

// Option changes how New makes a State.
type Option func(*State)

// WithFar sets how many times as long a task takes away from its data or a gang
// across racks.
func WithFar(x float64) Option { return func(s *State) { s.remoteSlowdown = x } }

// WithStopTime sets how long a run takes at most to stop.
func WithStopTime(d time.Duration) Option { return func(s *State) { s.maxStopTime = d } }

// WithBase sets the number that all new runs lie above, so that they are above
// those of earlier owners.
func WithBase(n int) Option { return func(s *State) { s.runNumberBase = n } }

// WithRelist sets until when an executor that runs were recorded on and that has no
// entry may have run more than was recorded: its entry may have lapsed with the
// store.
func WithRelist(until time.Time) Option { return func(s *State) { s.reregisterUntil = until } }

// WithSettle blocks tasks of jobs that were there before, of which no run is
// known, until each executor has reported or the time has come: they may run on
// an executor that hasn't.
func WithSettle(until time.Time) Option { return func(s *State) { s.settleDeadline = until } }

// WithShare sets over which time a team's rate of submissions is taken, and how many
// jobs it may submit beyond that rate in such a time. Without it, it is excessBurst and
// none.
func WithShare(window time.Duration, slack int) Option {
	return func(s *State) {
		if window > 0 {
			s.quotaWindow, s.quotaSlack = window, slack
		}
	}
}

// WithRecorded names a zone on whose executors the last owner recorded all runs before
// it started them: what isn't recorded can't be present there.
func WithRecorded(zone string) Option { return func(s *State) { s.writeAheadZone = zone } }

package plan

import "time"

// Option configures a State that New returns.
type Option func(*State)

// WithRemoteSlowdown sets how many times longer a task takes away from its data, or a
// gang across racks. The default is 1.
func WithRemoteSlowdown(x float64) Option { return func(s *State) { s.remoteSlowdown = x } }

// WithStopTime sets the longest time that a run takes to stop. The default is one
// second.
func WithStopTime(d time.Duration) Option { return func(s *State) { s.maxStopTime = d } }

// WithRunNumberBase sets the number above which new runs are numbered, so that they are
// numbered above those of earlier owners. The default is 0.
func WithRunNumberBase(n int) Option { return func(s *State) { s.runNumberBase = n } }

// WithRecordSize sets the largest size of a job's record, in bytes. A job has no more runs at a
// time than its record can hold. The default is 0, for no limit.
func WithRecordSize(n int) Option { return func(s *State) { s.recordSize = n } }

// WithReregisterDeadline sets the time until which an executor that isn't registered may
// have unrecorded runs: its registration may have expired during an outage of the store,
// while the last owner could record nothing, and not be renewed yet.
func WithReregisterDeadline(until time.Time) Option {
	return func(s *State) { s.reregisterUntil = until }
}

// WithSettleDeadline sets the time by which no run that this owner doesn't know can
// exist any more, since all leases that an earlier owner granted have ended. Before
// it, tasks of inherited jobs without a known run start only when every executor of
// their service has reported, since they may be running on one that hasn't.
func WithSettleDeadline(until time.Time) Option { return func(s *State) { s.settleDeadline = until } }

// WithQuota sets the burst that a team's submission quota allows: the jobs that its
// rate yields within window, and slack jobs more. The default is a window of two
// seconds without slack, which also applies if window isn't positive.
func WithQuota(window time.Duration, slack int) Option {
	return func(s *State) {
		if window > 0 {
			s.quotaWindow, s.quotaSlack = window, slack
		}
	}
}

// WithWriteAheadZone names the zone in which the previous owner recorded each run
// before it started it, so that no unrecorded run can exist on executors there. Empty
// stands for no zone.
func WithWriteAheadZone(zone string) Option { return func(s *State) { s.writeAheadZone = zone } }

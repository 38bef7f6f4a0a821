package admit

import (
	"time"

	"github.com/balsamford/balsamford/node/internal/plan"
)

const (
	// MaxAge is the age from which a forecast isn't used.
	MaxAge = time.Second
	// minRetry and maxRetry bound the time after which a rejected job should return. Clients count in
	// whole seconds, and give up after some attempts.
	minRetry = time.Second
	maxRetry = time.Minute
)

// Decide decides on a job by a forecast of the given age, which may be nil.
//
// A job is rejected only if its result will have no value. Its wait counts as far as such forecasts
// held lately, so that rejections are rare and right: a rejected job that would have been in time costs
// its client all, and an accepted one that is late costs some work that comes last anyway.
//
// Heavy load: a team sends five times its usual and 9,000 tasks wait. Long jobs and jobs beyond the
// quota end worthless, and short ones start at once.
func Decide(a Arrival, forecast *plan.Forecast, age time.Duration) Verdict {
	v := Verdict{Objective: plan.Objective(a.Job), Beyond: a.BeyondQuota}
	if v.Objective == 0 {
		return v // It recurs or lasts.
	}
	if forecast == nil || forecast.Unknown || age > MaxAge {
		v.Unknown = true
		return v
	}
	d := forecast.Wait(a.Job, a.BeyondQuota)
	full := time.Duration(0)
	v.Reason, full = d.Longest()
	v.Wait = max(0, time.Duration(float64(full)/forecast.Margin(a.Job, a.BeyondQuota))-age)
	took := forecast.RunTime(a.Job)
	if v.Wait == 0 || a.Waited+v.Wait+a.Ahead+took <= plan.WorthlessAfter(v.Objective) {
		return v
	}
	v.Rejected, v.Wait = true, v.Wait+a.Ahead
	v.Retry = wholeSeconds(full + a.Ahead + took - v.Objective)
	return v
}

// wholeSeconds rounds a time after which a job should return up, and bounds it.
func wholeSeconds(d time.Duration) time.Duration {
	return min(maxRetry, max(minRetry, (d+time.Second-1).Truncate(time.Second)))
}

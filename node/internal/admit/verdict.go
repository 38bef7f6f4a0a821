package admit

import "time"

// Verdict is a decision on a job.
type Verdict struct {
	Rejected  bool
	Unknown   bool          // it was accepted without a usable forecast
	Sample    bool          // it would be rejected, and is accepted so that forecasts go on being checked
	Beyond    bool          // it is taken to exceed its team's quota
	Reason    string        // what the job would wait for longest: limit, room or advice
	Wait      time.Duration // that is expected, as far as it is almost certain
	Objective time.Duration
	Retry     time.Duration // after which a rejected job should return, in whole seconds
}

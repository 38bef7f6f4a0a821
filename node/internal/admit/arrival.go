package admit

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// Arrival is a job that a host has received.
type Arrival struct {
	Job         *model.Job
	Waited      time.Duration // since its client's first attempt
	Ahead       time.Duration // until jobs have started that return and are preferred
	BeyondQuota bool          // it exceeds its team's quota
}

package hold

import "github.com/balsamford/balsamford/coord/point"

// Sink receives the ownership events of endpoints. Calls for one endpoint are
// sequential, except that Leaving may be concurrent. The methods must not block.
type Sink interface {
	// Opened reports that this placer now owns the endpoint under the epoch of
	// view.Owner. view replaces all earlier state of the endpoint: a start of
	// an earlier epoch that is missing from it can no longer take effect.
	Opened(t Target, view *point.View)
	// Reported delivers the answer to a renewal.
	Reported(t Target, report *point.Report)
	// Paused reports that the endpoint must get no new starts until Resumed,
	// because it is unreachable or about to be handed over. Its tasks keep
	// their capacity.
	Paused(t Target)
	// Resumed reports that the endpoint may get starts again.
	Resumed(t Target)
	// Leaving reports that the endpoint is leaving and must get no more starts.
	Leaving(t Target)
	// Lapsed reports that every task that was started under the given epoch or
	// an earlier one has ended, since all leases have expired. Closed follows.
	Lapsed(t Target, epoch uint64)
	// Closed reports that the ownership has ended.
	Closed(t Target)
}

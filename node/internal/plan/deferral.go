package plan

// Deferral is the reason why waiting work is deferred.
type Deferral int

// Reasons why waiting work is deferred.
const (
	DeferredByLimit Deferral = iota // it doesn't fit under its team's limit in time
	DeferredByRoom                  // it doesn't fit into the capacity of its service in time
	deferralCount
)

// Deferrals returns all reasons.
func Deferrals() []Deferral { return []Deferral{DeferredByLimit, DeferredByRoom} }

// String returns the name of the reason, as in metrics and logs.
func (d Deferral) String() string {
	if d == DeferredByLimit {
		return "limit"
	}
	return "room"
}

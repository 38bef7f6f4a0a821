package plan

// Refusal is the reason for which a start is known not to have happened.
type Refusal int

// The reasons for which a start is refused.
const (
	RefusedBusy      Refusal = iota // the executor is unhealthy
	RefusedRoom                     // the executor lacks capacity
	RefusedTicket                   // the executor didn't accept the ticket, or requires one
	RefusedNumber                   // the run's number is too low for the executor, or the run isn't needed any more
	RefusedLate                     // the lease had ended, or the owner may not start runs now
	RefusedUnsent                   // the order wasn't sent, or the executor follows another owner
	RefusedEvacuated                // the executor's zone is being evacuated
)

// Refusals lists all reasons for a refusal.
func Refusals() []Refusal {
	return []Refusal{RefusedBusy, RefusedRoom, RefusedTicket, RefusedNumber, RefusedLate, RefusedUnsent, RefusedEvacuated}
}

// String returns the reason's name, such as "room".
func (r Refusal) String() string {
	switch r {
	case RefusedBusy:
		return "busy"
	case RefusedRoom:
		return "room"
	case RefusedTicket:
		return "ticket"
	case RefusedNumber:
		return "number"
	case RefusedLate:
		return "late"
	case RefusedUnsent:
		return "unsent"
	case RefusedEvacuated:
		return "evacuated"
	}
	return "unknown"
}

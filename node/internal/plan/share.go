package plan

const (
	// expectedAllowedShare is the fraction of executors without an earlier answer that an
	// adviser is expected to allow before it has answered. It counts as if the adviser had
	// answered for sharePrior executors.
	expectedAllowedShare = 0.4
	sharePrior           = 20.0
	// shareMemory is the number of answers from which earlier ones count half, so that the
	// share follows the work that comes.
	shareMemory = 1000.0
	// leastAllowedShare bounds the share from below. Otherwise requests for a queue whose steps
	// were denied everywhere would be drafted as if nothing could come of them.
	leastAllowedShare = 0.02
)

// allowedShare learns which part of the executors the adviser of a queue allows a step to use.
// The zero value expects expectedAllowedShare.
type allowedShare struct{ named, allowed float64 }

// note notes an answer for executors without an earlier one.
func (a *allowedShare) note(named, allowed int) {
	a.named, a.allowed = a.named+float64(named), a.allowed+float64(allowed)
	if a.named > shareMemory {
		a.named, a.allowed = a.named/2, a.allowed/2
	}
}

// value returns the share.
func (a *allowedShare) value() float64 {
	return max(leastAllowedShare, (a.allowed+expectedAllowedShare*sharePrior)/(a.named+sharePrior))
}

package owner

import "time"

const (
	// lagSmoothing is the weight of one round of the decision loop in the smoothed lag, so
	// that a single suspension of the process isn't taken for overload.
	lagSmoothing = 0.2
	// maxRoundLag bounds what one round counts.
	maxRoundLag = 2 * time.Second
	// expectedRound is the longest time between two rounds of the decision loop on a host
	// that keeps up: the tick and its coalescing.
	expectedRound = maxDecideInterval + 50*time.Millisecond
	// overloadLag is the smoothed lag from which a host can't keep up with the cell:
	// decisions then come later than the latency objective of urgent work.
	overloadLag = 350 * time.Millisecond
)

// lagMeter measures by how much the decision loop falls behind. A host that lacks processor
// time for the cell falls behind more and more.
type lagMeter struct {
	lastRound time.Time
	smoothed  time.Duration
}

// observe notes that a round of the loop has ended at now.
func (m *lagMeter) observe(now time.Time) {
	if !m.lastRound.IsZero() {
		late := min(maxRoundLag, max(0, now.Sub(m.lastRound)-expectedRound))
		m.smoothed += time.Duration(lagSmoothing * float64(late-m.smoothed))
	}
	m.lastRound = now
}

// overloaded reports whether the host can't keep up.
func (m *lagMeter) overloaded() bool { return m.smoothed > overloadLag }

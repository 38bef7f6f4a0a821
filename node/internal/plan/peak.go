package plan

import (
	"math"
	"time"
)

// peakDecay is the time constant with which a peak decays.
const peakDecay = 4 * time.Second

// peak is a decaying maximum. The zero value has noted nothing.
type peak struct {
	highest float64
	at      time.Time
}

// note notes a value at now.
func (p *peak) note(v float64, now time.Time) {
	p.highest, p.at = max(v, p.value(now)), now
}

// value returns what is left of the peak at now.
func (p *peak) value(now time.Time) float64 {
	if p.at.IsZero() {
		return 0
	}
	return p.highest * math.Exp(-float64(now.Sub(p.at))/float64(peakDecay))
}

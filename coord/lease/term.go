package lease

import "time"

// Term is the period for which a right, such as ownership, is granted. The
// holder measures it from before it sends its request, and the granter from the
// request's arrival, so it ends first for the holder. The zero Term has ended.
type Term struct {
	from   time.Duration // clock reading at the start
	length time.Duration
}

// NewTerm returns a Term of the given length that starts at the clock reading
// sent. A holder reads the clock before it sends its request.
func NewTerm(sent, length time.Duration) Term { return Term{from: sent, length: length} }

// Length returns the requested length, without margins.
func (t Term) Length() time.Duration { return t.length }

// End returns the clock reading at which the holder has to stop: a Margin
// before the term expires.
func (t Term) End() time.Duration { return t.from + t.length - Margin(t.length) }

// Valid reports whether the holder may still act at now.
func (t Term) Valid(now time.Duration) bool { return t.length > 0 && now < t.End() }

// Over reports whether other processes may assume at now that the holder has
// stopped, which is a Margin after the term expired.
func (t Term) Over(now time.Duration) bool {
	return now >= t.from+t.length+Margin(t.length)
}

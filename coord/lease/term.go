package lease

import "time"

// Term is a right that holds for a length of time. Its holder counts it from
// before the request that granted it was sent, whoever granted it from when
// the request came; so the holder's count ends first. The zero Term has ended.
type Term struct {
	from   time.Duration
	length time.Duration
}

// NewTerm returns the Term that was asked for at sent.
func NewTerm(sent, length time.Duration) Term { return Term{from: sent, length: length} }

// Length returns how long the term was asked for.
func (t Term) Length() time.Duration { return t.length }

// End returns when the holder has to stop, which is a margin before the term
// runs out.
func (t Term) End() time.Duration { return t.from + t.length - Margin(t.length) }

// Valid reports whether the holder may still act at now.
func (t Term) Valid(now time.Duration) bool { return t.length > 0 && now < t.End() }

// Over reports whether someone else may rely on the term having run out: a
// margin after its length.
func (t Term) Over(now time.Duration) bool {
	return now >= t.from+t.length+Margin(t.length)
}

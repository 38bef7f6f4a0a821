package plan

// deferredCounts counts deferred jobs by reason.
type deferredCounts struct {
	now   [deferralCount]int // at the last sweep
	begun [deferralCount]int // since TakeDeferred was last called
}

// Deferred returns the number of jobs that were deferred at the last sweep.
func (s *State) Deferred() int {
	return s.deferred.now[DeferredByLimit] + s.deferred.now[DeferredByRoom]
}

// TakeDeferred returns how often jobs have been deferred since the last call, by reason.
func (s *State) TakeDeferred() map[Deferral]int {
	out := make(map[Deferral]int)
	for _, d := range Deferrals() {
		if n := s.deferred.begun[d]; n > 0 {
			out[d] = n
		}
	}
	s.deferred.begun = [deferralCount]int{}
	return out
}

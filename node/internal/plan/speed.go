package plan

import "time"

const (
	// speedSmoothing is the weight of one task in a kind's learned slowness.
	speedSmoothing = 0.02
	// speedPenalty is how much worse a slower kind is for urgent work, and better
	// for other work, in shares of an executor's processors for each time as long.
	speedPenalty = 4.0
	// leastTimed is the shortest run that is timed: shorter ones are mostly the
	// way to the executor and back.
	leastTimed = 200 * time.Millisecond
)

// timed learns how long tasks take on a kind of hardware, against the other
// tasks of their stage, which differ little but for where they run.
func (s *State) timed(st *stage, w *worker, took time.Duration) {
	if took < leastTimed || st.spec.Filler || st.spec.Lasting {
		return
	}
	st.took += took
	st.ended++
	if st.ended < 2 || w.info.Kind == "" {
		return
	}
	mean := st.took / time.Duration(st.ended)
	old, ok := s.slowness[w.info.Kind]
	if !ok {
		old = 1
	}
	s.slowness[w.info.Kind] = old + speedSmoothing*(float64(took)/float64(mean)-old)
}

// slow returns how many times as long tasks take on an executor's kind as on
// the average one.
func (s *State) slow(w *worker) float64 {
	if x, ok := s.slowness[w.info.Kind]; ok {
		return x
	}
	return 1
}

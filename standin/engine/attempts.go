package engine

// maxAttempts is the number of attempts that an endpoint remembers.
const maxAttempts = 1 << 16

// attempts remembers for which attempts an endpoint got a start or a stop, so
// that none runs twice. The oldest are forgotten first.
type attempts struct {
	byKey map[taskKey]*task // nil for an attempt that was stopped before its start arrived
	order []taskKey         // oldest first
}

func (s *attempts) add(key taskKey, t *task) {
	if _, ok := s.byKey[key]; !ok {
		s.order = append(s.order, key)
	}
	s.byKey[key] = t
	if len(s.order) > maxAttempts {
		delete(s.byKey, s.order[0])
		s.order = s.order[1:]
	}
}

package engine

// seenLimit bounds how many attempts an endpoint remembers.
const seenLimit = 1 << 16

// seen remembers the attempts that an endpoint was asked to start or stop,
// so that none is run twice. The oldest are forgotten first.
type seen struct {
	byKey map[taskKey]*task // nil for an attempt that was stopped before it came
	order []taskKey
}

func (s *seen) add(key taskKey, t *task) {
	if _, ok := s.byKey[key]; !ok {
		s.order = append(s.order, key)
	}
	s.byKey[key] = t
	if len(s.order) > seenLimit {
		delete(s.byKey, s.order[0])
		s.order = s.order[1:]
	}
}

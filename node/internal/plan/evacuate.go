package plan

// SetEvacuated replaces the set of zones that are being evacuated. Executors there get no
// new work.
func (s *State) SetEvacuated(zones []string) {
	s.evacuated = make(map[string]bool, len(zones))
	for _, z := range zones {
		s.evacuated[z] = true
	}
}

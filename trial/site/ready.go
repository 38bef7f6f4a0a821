package site

import "github.com/balsamford/balsamford/trial/cell"

// EntryReady reports whether the entry of a host reports itself ready for
// requests.
func (s *Site) EntryReady(h cell.EntryHost) bool {
	return s.status.notReadyReason(h.StatusAddress) == ""
}

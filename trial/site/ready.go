package site

import "github.com/balsamford/balsamford/trial/cell"

// Takes reports whether an entry says that it takes requests.
func (s *Site) EntryReady(d cell.EntryHost) bool { return s.pages.ready(d.StatusAddress) == "" }

package site

import "github.com/balsamford/balsamford/trial/cell"

// Takes reports whether an entry says that it takes requests.
func (s *Site) Takes(d cell.EntryHost) bool { return s.pages.ready(d.StatusAddress) == "" }

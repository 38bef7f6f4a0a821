package audit

import (
	"strings"
	"time"
)

// Query says which records are wanted. Empty fields match all.
type Query struct {
	Since   time.Time // required
	Until   time.Time // required
	Who     string
	Action  Action
	Verdict Verdict
	Object  string // "team.shop", or the beginning of it
	Most    int    // records returned; all if 0
}

func (q Query) first() time.Time { return q.Since.UTC().Truncate(day) }

func (q Query) last() time.Time { return q.Until.UTC().Truncate(day) }

func (q Query) matches(r Record) bool {
	if r.When.Before(q.Since) || r.When.After(q.Until) {
		return false
	}
	if q.Who != "" && r.Who != q.Who || q.Action != "" && r.Action != q.Action || q.Verdict != "" && r.Verdict != q.Verdict {
		return false
	}
	return q.Object == "" || r.about(q.Object)
}

// about reports whether the record is about an object whose name begins with
// prefix.
func (r Record) about(prefix string) bool {
	if strings.HasPrefix(r.Object, prefix) {
		return true
	}
	for _, c := range r.Changes {
		if strings.HasPrefix(c.Object, prefix) {
			return true
		}
	}
	return false
}

package audit

import (
	"strings"
	"time"
)

// Query selects records. Zero fields match all records, except Since and Until.
type Query struct {
	Since   time.Time // required, inclusive
	Until   time.Time // required, inclusive
	Who     string    // name of the operator's key
	Action  Action
	Verdict Verdict
	Object  string // prefix of an object's name, like "team.shop"
	Most    int    // maximum number of records; 0 means no limit
}

func (q Query) firstDay() time.Time { return q.Since.UTC().Truncate(day) }

func (q Query) lastDay() time.Time { return q.Until.UTC().Truncate(day) }

func (q Query) matches(r Record) bool {
	if r.When.Before(q.Since) || r.When.After(q.Until) {
		return false
	}
	if q.Who != "" && r.Who != q.Who || q.Action != "" && r.Action != q.Action || q.Verdict != "" && r.Verdict != q.Verdict {
		return false
	}
	return q.Object == "" || r.concerns(q.Object)
}

// concerns reports whether the record names an object that begins with prefix.
func (r Record) concerns(prefix string) bool {
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

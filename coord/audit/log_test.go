package audit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/store"
)

func TestQuery(t *testing.T) {
	platform := store.New()
	l := New(platform)
	start := time.Date(2030, 1, 30, 23, 0, 0, 0, time.UTC)
	records := []Record{
		{Who: "ana", Action: Publish, Verdict: Accepted, Version: 1, Changes: []Change{{Object: "team.shop"}}},
		{Who: "ben", Action: Set, Verdict: Conflict, Changes: []Change{{Object: "key.shop"}}},
		{Who: "ana", Action: Drain, Verdict: Accepted, Object: "h1"},
	}
	for i, r := range records {
		r.When = start.Add(time.Duration(i) * time.Hour)
		r.ID = NewID(r.When)
		is.New(t).True(ValidID(r.ID))
		is.New(t).NoErr(l.Write(t.Context(), r))
		is.New(t).NoErr(l.Write(t.Context(), r)) // a retry after a lost response
	}
	tests := map[string]struct {
		query Query
		want  int
	}{
		"all":       {want: 3},
		"one day":   {query: Query{Since: start.Add(time.Hour)}, want: 2},
		"until":     {query: Query{Until: start.Add(time.Minute)}, want: 1},
		"by who":    {query: Query{Who: "ana"}, want: 2},
		"by action": {query: Query{Action: Set}, want: 1},
		"verdict":   {query: Query{Verdict: Accepted}, want: 2},
		"object":    {query: Query{Object: "team."}, want: 1},
		"host":      {query: Query{Object: "h1"}, want: 1},
		"at most":   {query: Query{Most: 2}, want: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := tt.query
			if q.Since.IsZero() {
				q.Since = start
			}
			if q.Until.IsZero() {
				q.Until = start.Add(48 * time.Hour)
			}
			got, err := l.Query(t.Context(), q)
			is.NoErr(err)
			is.Equal(len(got), tt.want)
			for i := 1; i < len(got); i++ {
				is.True(got[i].ID < got[i-1].ID)
			}
		})
	}
}

package serve

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/jobs"
	"github.com/balsamford/balsamford/entry/internal/record"
)

func TestJobs(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	const job = `{"queue":"shop","kind":"batch","tasks":3,"id":"plan"}`
	g := c.do("a1", http.MethodPost, "/v1/requests", "k1", job)
	is.Equal(g.code, 202)
	is.Equal(g.reply.ID, "plan")
	is.Equal(g.reply.Keep, int(jobs.History.Seconds()))
	again := c.do("b2", http.MethodPost, "/v1/requests", "k1", job)
	is.Equal(again.code, 202)
	other := c.do("b2", http.MethodPost, "/v1/requests", "k1", `{"queue":"shop","kind":"batch","tasks":4,"id":"plan"}`)
	is.Equal(other.code, 409)
	for _, entry := range []string{"a1", "a2", "b1", "b2"} {
		is.Equal(c.do(entry, http.MethodGet, "/v1/requests/plan", "k1", "").reply.Phase, wire.Queued)
		is.Equal(c.do(entry, http.MethodGet, "/v1/requests/plan", "k2", "").code, 404)
	}
	is.Equal(c.do("a2", http.MethodDelete, "/v1/requests/plan", "k1", "").code, 202)
	rows, err := c.platform.Scan(context.Background(), "job", "")
	is.NoErr(err)
	is.Equal(len(rows), 1)
}

// TestJobOfAZoneWithoutPlacers submits a job without an id to an entry whose
// own zone can't run it: the job must get a home zone that can.
func TestJobOfAZoneWithoutPlacers(t *testing.T) {
	tests := map[string]struct {
		prepare func(c *cell)
		zone    int // index of the placer that must get the job
	}{
		"own zone has room":   {prepare: func(*cell) {}, zone: 0},
		"its placer is dead":  {prepare: placerDead, zone: 1},
		"its placer has none": {prepare: func(c *cell) { c.placers[0].setFull() }, zone: 1},
		"both are full":       {prepare: func(c *cell) { c.placers[0].setFull(); c.placers[1].setFull() }, zone: 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			tt.prepare(c)
			c.entries["a1"].table.Poll(context.Background())
			g := c.do("a1", http.MethodPost, "/v1/requests", "k1", `{"queue":"shop","kind":"batch"}`)
			is.Equal(g.code, 202)
			waitFor(t, func() bool { return len(c.placers[tt.zone].received()) == 1 })
			is.Equal(len(c.placers[1-tt.zone].received()), 0)
			for _, entry := range []string{"a2", "b1"} {
				is.Equal(c.do(entry, http.MethodGet, "/v1/requests/"+g.reply.ID, "k1", "").reply.Phase, wire.Queued)
			}
		})
	}
}

// A job with an id older than the job history is refused with an unknown
// outcome, since an earlier job with this id may have run.
func TestJobWithAForgottenID(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	id := record.NewIssuer(timer.New(timer.WithManual(time.Now().Add(-jobs.History))), "a", "a1").Issue()
	g := c.do("b1", http.MethodPost, "/v1/requests", "k1", `{"queue":"shop","kind":"batch","id":"`+id+`"}`)
	is.Equal(g.code, 410)
	is.Equal(g.outcome, wire.Unknown)
	g = c.do("b1", http.MethodGet, "/v1/requests/"+id, "k1", "")
	is.Equal(g.code, 410)
	is.Equal(g.outcome, wire.Unknown)
}

func TestJobWhilePlatformIsAway(t *testing.T) {
	const job = `{"queue":"shop","kind":"batch","id":"plan"}`
	tests := map[string]struct {
		prepare func(c *cell)
		after   func(c *cell)
		code    int
		outcome wire.Outcome
		rows    int
	}{
		"held in two zones":         {prepare: platformDown, code: 202, rows: 1},
		"first holder dies":         {prepare: platformDown, after: killEntry("a1"), code: 202, rows: 1},
		"other zone cut off":        {prepare: both(platformDown, cutOff("a1", "b1", "b2")), code: 500, outcome: wire.Unknown},
		"answer lost after writing": {prepare: platformLosesAnswers, code: 202, rows: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCell(t)
			tt.prepare(c)
			g := c.do("a1", http.MethodPost, "/v1/requests", "k1", job)
			is.Equal(g.code, tt.code)
			is.Equal(g.outcome, tt.outcome)
			if tt.after != nil {
				tt.after(c)
			}
			c.platform.SetFaults(store.Faults{})
			rows := func() int {
				rows, err := c.platform.Scan(context.Background(), "job", "")
				is.NoErr(err)
				return len(rows)
			}
			if tt.rows == 0 {
				time.Sleep(1500 * time.Millisecond)
			}
			waitFor(t, func() bool { return rows() == tt.rows })
			time.Sleep(1200 * time.Millisecond) // The other holder must not write it again.
			is.Equal(rows(), tt.rows)
		})
	}
}

package audit

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/store"
)

// TestBacklog checks that records made during an outage are written after it, and
// that the oldest are dropped if there are too many.
func TestBacklog(t *testing.T) {
	is := is.New(t)
	platform := store.New()
	log := New(platform)
	b := NewBacklog(log)
	platform.SetFaults(store.Faults{Down: true})
	now := time.Unix(1000, 0)
	for i := range maxPending + 2 {
		is.True(b.Write(t.Context(), Record{ID: NewID(now), When: now, Who: strconv.Itoa(i)}) != nil)
	}
	_, err := b.Flush(t.Context())
	is.True(err != nil)
	platform.SetFaults(store.Faults{})
	dropped, err := b.Flush(t.Context())
	is.NoErr(err)
	is.Equal(dropped, 2)
	rows, err := platform.Scan(t.Context(), Table, "")
	is.NoErr(err)
	is.Equal(len(rows), maxPending)
	for _, row := range rows {
		r, err := decode(row)
		is.NoErr(err)
		is.True(r.Who != "0" && r.Who != "1")
	}
}

package config

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/store"
)

// TestDrainReachesAll checks that every host learns of a drain and of its end
// within two seconds, including hosts that read from others, and keeps the
// drain while the platform is unavailable.
func TestDrainReachesAll(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		c.start(name, "z1", WithReaders(1))
	}
	c.write(t, 1, setWith(t, ""))
	c.refreshFor(2 * time.Second)
	d := Drain{Host: "w7", Author: "ana", Door: "h1", When: c.timers.Now()}
	id := audit.NewID(c.timers.Now())
	c.platform.SetFaults(store.Faults{Next: 1}) // the reply to the first call is lost
	is.NoErr(SetDrain(t.Context(), c.platform, id, d))
	is.NoErr(SetDrain(t.Context(), c.platform, id, d))
	c.refreshFor(2 * time.Second)
	c.platform.SetFaults(store.Faults{Down: true})
	c.refreshFor(time.Minute)
	for _, f := range c.followers {
		is.True(f.Drained("w7"))
		is.True(!f.Drained("w8"))
	}
	c.platform.SetFaults(store.Faults{})
	is.NoErr(EndDrain(t.Context(), c.platform, audit.NewID(c.timers.Now()), d))
	c.refreshFor(2 * time.Second)
	for _, f := range c.followers {
		is.True(!f.Drained("w7"))
	}
	drains := 0
	for _, r := range c.records(t) {
		if r.Action == audit.Drain {
			drains++
			is.Equal(r.Host, "h1")
		}
	}
	is.Equal(drains, 1)
}

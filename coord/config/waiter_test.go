package config

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// TestHungHostHoldsUpNothing checks that a host that accepts calls but never
// replies, such as a paused one, delays acceptance only until it has lapsed.
func TestHungHostHoldsUpNothing(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	a := c.start("a", "z1")
	c.start("b", "z2")
	first, err := c.publishWithin(c.platform, edit(c, 0, &Team{Name: "first"}))
	is.NoErr(err)
	c.refreshAll()
	w := NewWaiter(c.platform, c.timers, a, nil, zap.NewNop())
	w.recordAccepted(t.Context(), first.Head.Version)
	c.hungAddress = "b"
	res, err := c.publishWithin(c.platform, edit(c, 1, &Team{Name: "second"}))
	is.NoErr(err)
	var last Progress
	c.runWithTime(func() { last, err = w.Wait(t.Context(), res, func(Progress) {}) })
	is.NoErr(err)
	took := c.timers.Boot() - res.Published
	is.True(last.Accepted)
	is.Equal(last.Missing, []string{"b"})
	is.True(took >= w.lapseDelay(res.Head))
	is.True(took <= 3*time.Second)
	t.Logf("accepted after %v", took)
}

package daemon

import (
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/owner"
	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/placer/internal/borrow"
	"github.com/balsamford/balsamford/placer/internal/hold"
)

// applyConfig applies a version of the configuration to the limits and the
// scheduler.
func (d *Daemon) applyConfig(c *config.Snapshot) {
	limits := make(map[string]parts.Bound)
	for _, team := range c.Teams() {
		if l, ok := c.Limit(team); ok {
			limits[team] = l
		}
	}
	d.limits.Configure(limits)
	d.sched.Configure(policyOf(c))
}

// nextOwner returns the name under which the next owner of an endpoint counts
// against limits, or an empty string if it isn't known.
func (d *Daemon) nextOwner(t hold.Target) string {
	name := owner.Of(t.Group(), d.members.Names())
	if m, alive := d.members.Alive(name); alive && name != d.settings.Host {
		return borrow.Name(m)
	}
	return ""
}

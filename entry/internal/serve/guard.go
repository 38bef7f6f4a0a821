package serve

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/record"
	"github.com/balsamford/balsamford/entry/internal/relay"
)

// claimCheckInterval is how long this host may rely on its claim on an
// idempotent request without confirming it. It is shorter than openTimeout,
// after which another host takes over from a host that doesn't answer.
const claimCheckInterval = openTimeout / 2

// guard checks before each send that the key is still valid and that this host
// still owns the request's claim. It isn't safe for concurrent use.
type guard struct {
	service   *Service
	allow     func() string // see recheckKey
	claim     record.Note
	revocable bool          // another host may take the request over
	confirmed time.Duration // boot time (suspends included) of the last confirmation of the claim
	lost      bool          // the claim was lost to another host
}

// newGuard returns a guard for a request that this host has just claimed.
func (s *Service) newGuard(sub *submission, q record.Request, claim record.Note) *guard {
	return &guard{
		service: s, allow: s.recheckKey(sub), claim: claim, revocable: !q.Once && !q.FreshID, confirmed: s.Clock.Boot(),
	}
}

// check returns the reason code for which the request must not be sent, or an
// empty string.
func (g *guard) check() string {
	if reason := g.allow(); reason != "" || !g.revocable {
		return reason
	}
	now := g.service.Clock.Boot()
	if now-g.confirmed < claimCheckInterval {
		return ""
	}
	if !g.service.Keeper.ClaimValid(g.service.ctx, g.claim) {
		g.lost = true
		return wire.ReasonLost
	}
	g.confirmed = now
	return ""
}

// correct replaces a "not run" result by an unknown outcome if the claim was
// lost, since another host may run the request.
func (g *guard) correct(res relay.Result) relay.Result {
	if !g.lost || res.Outcome != wire.NotRun {
		return res
	}
	return relay.Unknown(wire.ReasonLost, "another host may have taken the request over")
}

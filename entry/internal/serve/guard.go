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
	allow     func() string
	claim     record.Note
	revocable bool          // another host may take the request over
	confirmed time.Duration // boot time (suspends included) of the last confirmation of the claim
	lost      bool          // the claim was lost to another host
}

func (s *Service) newGuard(sub *submission, q record.Question, claim record.Note) *guard {
	return &guard{
		service: s, allow: s.recheckKey(sub), claim: claim, revocable: !q.Once && !q.Private, confirmed: s.Clock.Boot(),
	}
}

// check returns the reason code for which the request must not be sent, or an
// empty string.
func (t *guard) check() string {
	if reason := t.allow(); reason != "" || !t.revocable {
		return reason
	}
	now := t.service.Clock.Boot()
	if now-t.confirmed < claimCheckInterval {
		return ""
	}
	if !t.service.Keeper.Stands(t.service.ctx, t.claim) {
		t.lost = true
		return wire.ReasonLost
	}
	t.confirmed = now
	return ""
}

// correct replaces a "not run" result by an unknown outcome if the claim was
// lost, since another host may run the request.
func (t *guard) correct(res relay.Result) relay.Result {
	if !t.lost || res.Outcome != wire.NotRun {
		return res
	}
	return relay.Unknown(wire.ReasonLost, "another host may have taken the request over")
}

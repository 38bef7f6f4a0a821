package serve

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/record"
	"github.com/balsamford/balsamford/entry/internal/relay"
)

// standTime is how long a claim on an idempotent request counts as the only
// one. It is shorter than openTime, after which another host takes over from
// one that doesn't answer.
const standTime = openTime / 2

// standing says before each send whether a request may still be run here. It
// is used by one goroutine.
type standing struct {
	service *Service
	allow   func() string
	claim   record.Note
	shared  bool          // another host may take the request over
	asked   time.Duration // when the claim was known to stand, with suspends counted
	lost    bool          // it stands no more
}

func (s *Service) standing(sub *submission, q record.Request, claim record.Note) *standing {
	return &standing{
		service: s, allow: s.allow(sub), claim: claim, shared: !q.Once && !q.FreshID, asked: s.Clock.Boot(),
	}
}

// ask returns why the request may not be sent, or an empty reason.
func (t *standing) ask() string {
	if reason := t.allow(); reason != "" || !t.shared {
		return reason
	}
	now := t.service.Clock.Boot()
	if now-t.asked < standTime {
		return ""
	}
	if !t.service.Keeper.ClaimValid(t.service.ctx, t.claim) {
		t.lost = true
		return wire.ReasonLost
	}
	t.asked = now
	return ""
}

// truthful corrects a refusal after the claim was lost: another host may run
// the request.
func (t *standing) truthful(res relay.Result) relay.Result {
	if !t.lost || res.Outcome != wire.NotRun {
		return res
	}
	return relay.Unknown(wire.ReasonLost, "another host may have taken the request over")
}

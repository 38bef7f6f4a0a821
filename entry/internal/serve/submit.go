package serve

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/httpd"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/record"
	"github.com/balsamford/balsamford/entry/internal/relay"
	"github.com/balsamford/balsamford/entry/internal/route"
)

const (
	// maxIDs is the largest number of ids that one call may request.
	maxIDs = 1000
	hex    = 16
)

func formatHex(n uint64) string { return strconv.FormatUint(n, hex) }

// serveIDs generates request ids for a caller.
func (s *Service) serveIDs(x *httpd.Exchange) {
	if _, reason := s.Config.Team(key(x)); reason != "" {
		send(x, status(wire.NotRun, reason), Reply{Reason: reason})
		return
	}
	in := struct {
		Count int `json:"count"`
	}{Count: 1}
	if body := x.Request().Body(); len(body) > 0 {
		if err := json.Unmarshal(body, &in); err != nil || in.Count < 1 || in.Count > maxIDs {
			send(x, fasthttp.StatusBadRequest, Reply{Reason: wire.ReasonInvalid, Detail: "count has to be between 1 and " + strconv.Itoa(maxIDs)})
			return
		}
	}
	out := struct {
		IDs  []string `json:"ids"`
		Keep int      `json:"keep"`
	}{Keep: s.keepSeconds()}
	for range in.Count {
		out.IDs = append(out.IDs, s.Issuer.Issue())
	}
	body, err := json.Marshal(out)
	if err != nil {
		return
	}
	x.Answer(fasthttp.StatusOK, jsonType, append(body, '\n'))
}

func (s *Service) keepSeconds() int { return int(s.Keeper.Retention().Seconds()) }

// serveSubmit accepts or refuses a new request.
func (s *Service) serveSubmit(x *httpd.Exchange) {
	f, err := parseForm(x.Request().Body())
	if err != nil {
		send(x, fasthttp.StatusBadRequest, Reply{Outcome: wire.NotRun, Reason: wire.ReasonInvalid, Detail: err.Error()})
		return
	}
	sub, refusal := s.submission(x, f)
	if refusal != nil {
		fail(x, f.ID, *refusal)
		return
	}
	switch {
	case f.Kind != wire.Quick:
		s.acceptJob(x, sub)
	case f.waits():
		s.answerQuick(x, sub)
	default:
		s.acceptQuick(x, sub)
	}
}

// submission builds a submission from a form, or returns the refusal. A request
// with the caller's own id may have run before, and its record hasn't been read
// at this point, so the outcome of such a refusal is "unknown" instead of "not
// run".
func (s *Service) submission(x *httpd.Exchange, f *form) (*submission, *relay.Result) {
	refuse := func(reason, detail string) (*submission, *relay.Result) {
		if f.ID != "" {
			res := relay.Unknown(reason, detail)
			return nil, &res
		}
		res := relay.NotRun(reason, detail)
		return nil, &res
	}
	if s.leaving.Load() {
		x.CloseAfter()
		return refuse(wire.ReasonLeaving, "this host is leaving; try another one")
	}
	req, err := f.request()
	if err != nil {
		return refuse(wire.ReasonInvalid, err.Error())
	}
	secret := key(x)
	team, reason := s.Config.Check(secret, f.Queue, f.Kind)
	if reason != "" {
		return refuse(reason, reasonDetail(reason))
	}
	req.Team = team
	sub := &submission{Key: secret, Request: req, Cancel: f.Cancel, Wait: f.waits(), deadline: s.deadline(req.Budget)}
	if f.ID == "" {
		sub.freshID = true
		sub.Request.ID = s.Issuer.IssueIn(s.homeZone(&req))
		return sub, nil
	}
	id, ok := requestID(team, f.ID)
	if !ok {
		return refuse(wire.ReasonInvalid, "id has to be an issued one, or at most 64 letters, digits, - and _")
	}
	sub.Request.ID = id
	return sub, nil
}

func reasonDetail(reason string) string {
	switch reason {
	case wire.ReasonKey:
		return "the key is missing, unknown or withdrawn"
	case wire.ReasonQueue:
		return "no such queue, or the key's team may not use it for this kind"
	case wire.ReasonStale:
		return "this host's configuration is not confirmed"
	}
	return ""
}

// answerQuick runs a quick request and sends its result to the waiting caller.
func (s *Service) answerQuick(x *httpd.Exchange, sub *submission) {
	reqCtx := context.Background()
	if sub.Cancel {
		reqCtx = x.Context()
	}
	out := &callerSink{exchange: x, id: sub.Request.ID}
	s.writeResult(x, out, sub.Request.ID, s.runAtHolder(reqCtx, sub, out))
}

// acceptQuick starts a quick request in the background and replies at once.
func (s *Service) acceptQuick(x *httpd.Exchange, sub *submission) {
	id := sub.Request.ID
	if !s.goBackground(func() { s.runAtHolder(context.Background(), sub, nullSink{}) }) {
		outcome := wire.Unknown
		if sub.freshID {
			outcome = wire.NotRun
		}
		fail(x, id, relay.Result{Outcome: outcome, Reason: wire.ReasonBusy, Detail: "too many requests run in the background"})
		return
	}
	send(x, fasthttp.StatusAccepted, Reply{ID: record.CallerID(id), Phase: wire.Queued, Keep: s.keepSeconds()})
}

// homeZone selects the home zone of a new request. A job is only driven by
// placers of its home zone, so a zone is preferred whose placers have free
// capacity for it or at least are alive.
func (s *Service) homeZone(req *wire.Request) string {
	if req.Kind == wire.Quick {
		return s.Self.Zone
	}
	p, ok := s.Table.Pick(route.Query{Kind: req.Kind, Queue: req.Queue, Needs: req.Needs})
	if !ok {
		return s.Self.Zone
	}
	return p.Zone
}

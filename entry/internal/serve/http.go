package serve

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/httpd"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/record"
	"github.com/balsamford/balsamford/entry/internal/relay"
)

const (
	pathRequests = "/v1/requests"
	pathIDs      = "/v1/ids"
	bearer       = "Bearer "
)

// Serve implements httpd.Handler.
func (s *Service) Serve(x *httpd.Exchange) {
	path := string(x.Request().URI().Path())
	method := string(x.Request().Header.Method())
	rest, found := strings.CutPrefix(path, pathRequests)
	switch {
	case path == pathIDs:
		s.only(x, method, fasthttp.MethodPost, s.serveIDs)
	case found && rest == "":
		s.only(x, method, fasthttp.MethodPost, s.serveSubmit)
	case found && strings.HasPrefix(rest, "/"):
		s.serveOne(x, method, rest[1:])
	default:
		send(x, fasthttp.StatusNotFound, Reply{Reason: wire.ReasonInvalid, Detail: "no such path; see docs/API.md"})
	}
}

// only calls serve if the method is the one that the path takes.
func (s *Service) only(x *httpd.Exchange, method, want string, serve func(*httpd.Exchange)) {
	if method != want {
		x.Header().Set(fasthttp.HeaderAllow, want)
		send(x, fasthttp.StatusMethodNotAllowed, Reply{Reason: wire.ReasonInvalid, Detail: "use " + want})
		return
	}
	serve(x)
}

// serveOne serves the paths of one request.
func (s *Service) serveOne(x *httpd.Exchange, method, rest string) {
	text, part, _ := strings.Cut(rest, "/")
	team, reason := s.Config.Team(key(x))
	if reason != "" {
		send(x, status(wire.NotRun, reason), Reply{ID: text, Reason: reason})
		return
	}
	id, ok := requestID(team, text)
	if !ok {
		send(x, fasthttp.StatusNotFound, Reply{ID: text, Detail: "this can't be a request's id"})
		return
	}
	get := func(serve func(*httpd.Exchange)) { s.only(x, method, fasthttp.MethodGet, serve) }
	switch {
	case part == "result":
		get(func(x *httpd.Exchange) { s.serveResult(x, team, id) })
	case part == "watch":
		get(func(x *httpd.Exchange) { s.serveWatch(x, team, id) })
	case part == "" && method == fasthttp.MethodDelete:
		s.serveCancel(x, team, id)
	case part == "":
		get(func(x *httpd.Exchange) { s.serveStatus(x, team, id) })
	default:
		send(x, fasthttp.StatusNotFound, Reply{ID: text, Detail: "no such path; see docs/API.md"})
	}
}

// requestID returns the id under which the system knows a request, from the
// one that its caller uses.
func requestID(team, text string) (string, bool) {
	if _, ok := record.ParseIssued(text); ok {
		return text, true
	}
	return record.ScopedID(team, text)
}

// key returns the key that came with a request, or an empty text.
func key(x *httpd.Exchange) string {
	k, found := strings.CutPrefix(string(x.Request().Header.Peek(fasthttp.HeaderAuthorization)), bearer)
	if !found {
		return ""
	}
	return strings.TrimSpace(k)
}

// finish answers with a quick request's result.
func (s *Service) finish(x *httpd.Exchange, out *callerSink, id string, res relay.Result) {
	if out.begun {
		s.finishStream(x, res)
		return
	}
	if res.Outcome == wire.Done && res.Reason == wire.ReasonGone {
		send(x, fasthttp.StatusGone, Reply{
			ID: record.CallerID(id), Outcome: wire.Done, Reason: res.Reason, Detail: res.Detail, Size: res.Size,
		})
		return
	}
	if res.Outcome != wire.Done {
		fail(x, id, res)
		return
	}
	h := x.Header()
	h.Set(headerID, record.CallerID(id))
	h.Set(headerOutcome, string(res.Outcome))
	h.Set(headerSum, hexadecimal(res.Sum))
	x.Answer(fasthttp.StatusOK, bytesType, res.Body)
}

// finishStream ends an answer that has begun. If it isn't whole the caller's
// connection ends without the final chunk.
func (s *Service) finishStream(x *httpd.Exchange, res relay.Result) {
	if res.Outcome != wire.Done {
		s.counts.torn.Inc(1)
		return
	}
	x.Trailer(headerOutcome, string(res.Outcome))
	x.Trailer(headerSum, hexadecimal(res.Sum))
	if err := x.Finish(); err != nil {
		s.counts.torn.Inc(1)
	}
}

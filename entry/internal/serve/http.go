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
		s.requireMethod(x, method, fasthttp.MethodPost, s.serveIDs)
	case found && rest == "":
		s.requireMethod(x, method, fasthttp.MethodPost, s.serveSubmit)
	case found && strings.HasPrefix(rest, "/"):
		s.serveRequest(x, method, rest[1:])
	default:
		send(x, fasthttp.StatusNotFound, Reply{Reason: wire.ReasonInvalid, Detail: "no such path; see docs/API.md"})
	}
}

// requireMethod calls serve if the method is the wanted one, and replies with
// status 405 otherwise.
func (s *Service) requireMethod(x *httpd.Exchange, method, want string, serve func(*httpd.Exchange)) {
	if method != want {
		x.Header().Set(fasthttp.HeaderAllow, want)
		send(x, fasthttp.StatusMethodNotAllowed, Reply{Reason: wire.ReasonInvalid, Detail: "use " + want})
		return
	}
	serve(x)
}

// serveRequest serves the paths below /v1/requests/ID.
func (s *Service) serveRequest(x *httpd.Exchange, method, rest string) {
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
	get := func(serve func(*httpd.Exchange)) { s.requireMethod(x, method, fasthttp.MethodGet, serve) }
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

// requestID converts the id that a caller uses to the one that the system
// uses: an issued id is unchanged, the caller's own id gets the team's prefix.
func requestID(team, text string) (string, bool) {
	if _, ok := record.ParseIssued(text); ok {
		return text, true
	}
	return record.ScopedID(team, text)
}

// key returns the bearer token of a request, or an empty string.
func key(x *httpd.Exchange) string {
	k, found := strings.CutPrefix(string(x.Request().Header.Peek(fasthttp.HeaderAuthorization)), bearer)
	if !found {
		return ""
	}
	return strings.TrimSpace(k)
}

// writeResult writes the result of a quick request as the HTTP response.
func (s *Service) writeResult(x *httpd.Exchange, out *callerSink, id string, res relay.Result) {
	if out.started {
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
	h.Set(headerSum, formatHex(res.Sum))
	x.Answer(fasthttp.StatusOK, bytesType, res.Body)
}

// finishStream ends a response whose body is being streamed. If the answer is
// incomplete the connection is closed without the final chunk, so that the
// caller can detect it.
func (s *Service) finishStream(x *httpd.Exchange, res relay.Result) {
	if res.Outcome != wire.Done {
		s.counts.truncated.Inc(1)
		return
	}
	x.Trailer(headerOutcome, string(res.Outcome))
	x.Trailer(headerSum, formatHex(res.Sum))
	if err := x.Finish(); err != nil {
		s.counts.truncated.Inc(1)
	}
}

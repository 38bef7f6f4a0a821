package shell

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/integrii/flaggy"

	"github.com/balsamford/balsamford/balsam/internal/remote"
	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
)

// digestPrefixLen is how many bytes of a version's digest a table shows.
const digestPrefixLen = 12

// addReadCommands adds the commands that read the configuration and the audit trail.
func (a *app) addReadCommands(p *flaggy.Parser) {
	var object, version string
	sub := a.addCommand(p, "show", "prints a version as TOML, or one object of it",
		"  balsam show > all.toml\n  balsam show queue.checks --version 41",
		func(ctx context.Context) error {
			return a.show(ctx, remote.Query{"object": object, "version": version})
		})
	sub.AddPositionalValue(&object, "OBJECT", 1, false, `like "queue.checks"; everything without one`)
	sub.String(&version, "v", "version", "the newest without it")

	var from, to string
	sub = a.addCommand(p, "diff", "prints what changed between two versions, the newest two without names",
		"  balsam diff\n  balsam diff 40 42",
		func(ctx context.Context) error { return a.diff(ctx, remote.Query{"from": from, "to": to}) })
	sub.AddPositionalValue(&from, "FROM", 1, false, "a version")
	sub.AddPositionalValue(&to, "TO", 2, false, "a version; the newest without it")

	var most int
	sub = a.addCommand(p, "versions", "lists the newest versions", "  balsam versions --most 10",
		func(ctx context.Context) error { return a.versions(ctx, most) })
	sub.Int(&most, "m", "most", "how many")

	a.addCommand(p, "watch", "prints each version that the door's host applies, until it is interrupted", "  balsam watch",
		func(ctx context.Context) error { return a.watch(ctx) })

	q := &auditFlags{since: 24 * time.Hour}
	sub = a.addCommand(p, "audit", "prints the audit trail, the newest first",
		"  balsam audit --object key. --since 72h\n  balsam audit --who ana --verdict conflict --output json",
		func(ctx context.Context) error { return a.audit(ctx, q) })
	sub.Duration(&q.since, "s", "since", `how far back, like "72h"`)
	sub.Duration(&q.until, "u", "until", "how far back the newest ones are")
	sub.String(&q.who, "w", "who", "name of an operator's key")
	sub.String(&q.action, "", "action", "publish, set, delete, drain, resume, read or deny")
	sub.String(&q.verdict, "", "verdict", "accepted, refused, conflict or unchanged")
	sub.String(&q.object, "", "object", `an object or a host, or the beginning of its name, like "key."`)
	sub.Int(&q.most, "m", "most", "how many")
}

// auditFlags holds the flags of the audit command.
type auditFlags struct {
	since, until                 time.Duration // before now
	who, action, verdict, object string
	most                         int
}

// get sends a GET request to the operators' API.
func (a *app) get(ctx context.Context, path string, q remote.Query) (remote.Answer, error) {
	client, err := a.settings.operatorClient()
	if err != nil {
		return remote.Answer{}, err
	}
	return client.Call(ctx, http.MethodGet, path, q, nil)
}

func (a *app) show(ctx context.Context, q remote.Query) error {
	answer, err := a.get(ctx, admin.PathConfig, q)
	if err != nil {
		return err
	}
	if a.json() {
		version, _ := strconv.ParseUint(answer.Header.Version, 10, 64)
		a.printJSON(showOutput{Version: version, Data: string(answer.Body)})
		return nil
	}
	_, _ = fmt.Fprintf(a.streams.Err, "version %s\n", answer.Header.Version)
	_, _ = a.streams.Out.Write(answer.Body)
	return nil
}

// showOutput is the JSON output of the show command.
type showOutput struct {
	Version uint64 `json:"version"`
	Data    string `json:"data"` // TOML
}

func (a *app) diff(ctx context.Context, q remote.Query) error {
	answer, err := a.get(ctx, admin.PathDiff, q)
	if err != nil {
		return err
	}
	return a.printChecked(answer)
}

func (a *app) versions(ctx context.Context, most int) error {
	answer, err := a.get(ctx, admin.PathVersions, remote.Query{"most": formatCount(most)})
	if err != nil || a.printRaw(answer) {
		return err
	}
	var heads []config.Head
	if err := json.Unmarshal(answer.Body, &heads); err != nil {
		return err
	}
	rows := make([][]string, 0, len(heads))
	for _, h := range heads {
		rows = append(rows, []string{strconv.FormatUint(h.Version, 10), h.Author, h.Publish, h.Digest[:min(len(h.Digest), digestPrefixLen)]})
	}
	a.printTable("VERSION AUTHOR PUBLISH DIGEST", rows)
	return nil
}

// printRaw prints the response body unchanged if JSON output is selected, and reports
// whether it is.
func (a *app) printRaw(answer remote.Answer) bool {
	if a.json() {
		_, _ = a.streams.Out.Write(answer.Body)
	}
	return a.json()
}

func (a *app) watch(ctx context.Context) error {
	client, err := a.settings.operatorClient()
	if err != nil {
		return err
	}
	err = client.Stream(ctx, http.MethodGet, admin.PathWatch, nil, nil, func(_ int, _ remote.Headers, line []byte) error {
		if a.json() || !a.streams.Terminal {
			_, _ = a.streams.Out.Write(line)
			return nil
		}
		var s admin.Step
		if err := json.Unmarshal(line, &s); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(a.streams.Out, "version %d (%s)\n", s.Version, s.ID)
		if len(s.Changes) > 0 {
			a.printChanges(a.streams.Out, s.Changes)
		}
		return nil
	})
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (a *app) audit(ctx context.Context, q *auditFlags) error {
	now := time.Now()
	query := remote.Query{
		"since": now.Add(-q.since).Format(time.RFC3339), "who": q.who, "action": q.action,
		"verdict": q.verdict, "object": q.object, "most": formatCount(q.most),
	}
	if q.until > 0 {
		query["until"] = now.Add(-q.until).Format(time.RFC3339)
	}
	answer, err := a.get(ctx, admin.PathAudit, query)
	if err != nil || a.printRaw(answer) {
		return err
	}
	var records []audit.Record
	if err := json.Unmarshal(answer.Body, &records); err != nil {
		return err
	}
	rows := make([][]string, 0, len(records))
	for _, r := range records {
		rows = append(rows, []string{
			r.When.Format(time.RFC3339), r.Who, string(r.Action), string(r.Verdict),
			strconv.FormatUint(r.Base, 10), strconv.FormatUint(r.Version, 10), recordObjects(r),
		})
	}
	a.printTable("WHEN WHO ACTION VERDICT BASE VERSION ABOUT", rows)
	return nil
}

// recordObjects lists the objects of an audit record, but no more than maxNames of its
// changes.
func recordObjects(r audit.Record) string {
	out := r.Object
	for i, c := range r.Changes {
		if i == maxNames {
			return out + " and " + strconv.Itoa(len(r.Changes)-maxNames) + " more"
		}
		if out != "" {
			out += " "
		}
		out += c.Object
	}
	return out
}

// formatCount returns n as a query parameter, empty for the server's default.
func formatCount(n int) string {
	if n <= 0 {
		return ""
	}
	return strconv.Itoa(n)
}

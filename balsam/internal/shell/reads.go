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

// shownDigest is how much of a version's digest a table shows, in bytes.
const shownDigest = 12

// reads adds the commands that read the configuration and the trail.
func (a *app) reads(p *flaggy.Parser) {
	var object, version string
	sub := a.add(p, "show", "prints a version as TOML, or one object of it",
		"  balsam show > all.toml\n  balsam show queue.checks --version 41",
		func(ctx context.Context) error {
			return a.show(ctx, remote.Query{"object": object, "version": version})
		})
	sub.AddPositionalValue(&object, "OBJECT", 1, false, `like "queue.checks"; everything without one`)
	sub.String(&version, "v", "version", "the newest without it")

	var from, to string
	sub = a.add(p, "diff", "prints what changed between two versions, the newest two without names",
		"  balsam diff\n  balsam diff 40 42",
		func(ctx context.Context) error { return a.diff(ctx, remote.Query{"from": from, "to": to}) })
	sub.AddPositionalValue(&from, "FROM", 1, false, "a version")
	sub.AddPositionalValue(&to, "TO", 2, false, "a version; the newest without it")

	var most int
	sub = a.add(p, "versions", "lists the newest versions", "  balsam versions --most 10",
		func(ctx context.Context) error { return a.versions(ctx, most) })
	sub.Int(&most, "m", "most", "how many")

	a.add(p, "watch", "prints each version that the door's host applies, until it is interrupted", "  balsam watch",
		func(ctx context.Context) error { return a.watch(ctx) })

	q := &auditQuery{since: 24 * time.Hour}
	sub = a.add(p, "audit", "prints the audit trail, the newest first",
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

type auditQuery struct {
	since, until                 time.Duration
	who, action, verdict, object string
	most                         int
}

// get asks the operators' door for a page.
func (a *app) get(ctx context.Context, path string, q remote.Query) (remote.Answer, error) {
	client, err := a.settings.operators()
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
		a.printJSON(shown{Version: version, Data: string(answer.Body)})
		return nil
	}
	_, _ = fmt.Fprintf(a.streams.Err, "version %s\n", answer.Header.Version)
	_, _ = a.streams.Out.Write(answer.Body)
	return nil
}

// shown is what the show command prints as JSON.
type shown struct {
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
	answer, err := a.get(ctx, admin.PathVersions, remote.Query{"most": count(most)})
	if err != nil || a.raw(answer) {
		return err
	}
	var heads []config.Head
	if err := json.Unmarshal(answer.Body, &heads); err != nil {
		return err
	}
	rows := make([][]string, 0, len(heads))
	for _, h := range heads {
		rows = append(rows, []string{strconv.FormatUint(h.Version, 10), h.Author, h.Publish, h.Digest[:min(len(h.Digest), shownDigest)]})
	}
	a.printTable("VERSION AUTHOR PUBLISH DIGEST", rows)
	return nil
}

// raw prints an answer as it came if JSON is asked for.
func (a *app) raw(answer remote.Answer) bool {
	if a.json() {
		_, _ = a.streams.Out.Write(answer.Body)
	}
	return a.json()
}

func (a *app) watch(ctx context.Context) error {
	client, err := a.settings.operators()
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

func (a *app) audit(ctx context.Context, q *auditQuery) error {
	now := time.Now()
	query := remote.Query{
		"since": now.Add(-q.since).Format(time.RFC3339), "who": q.who, "action": q.action,
		"verdict": q.verdict, "object": q.object, "most": count(q.most),
	}
	if q.until > 0 {
		query["until"] = now.Add(-q.until).Format(time.RFC3339)
	}
	answer, err := a.get(ctx, admin.PathAudit, query)
	if err != nil || a.raw(answer) {
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
			strconv.FormatUint(r.Base, 10), strconv.FormatUint(r.Version, 10), about(r),
		})
	}
	a.printTable("WHEN WHO ACTION VERDICT BASE VERSION ABOUT", rows)
	return nil
}

// about names the objects of a record.
func about(r audit.Record) string {
	out := r.Object
	for i, c := range r.Changes {
		if i == places {
			return out + " and " + strconv.Itoa(len(r.Changes)-places) + " more"
		}
		if out != "" {
			out += " "
		}
		out += c.Object
	}
	return out
}

func count(n int) string {
	if n <= 0 {
		return ""
	}
	return strconv.Itoa(n)
}

package config

import (
	"strings"
	"time"

	"github.com/balsamford/balsamford/coord/audit"
)

// shownDigest is how much of a key's digest is shown, in bytes.
const shownDigestBytes = len(digestScheme) + 1 + 2*saltBytes

// record returns the audit record of an edit.
func (e *Edit) record(now time.Time, v audit.Verdict, base uint64, changes []Difference) audit.Record {
	r := audit.Record{
		ID: e.ID, When: now.UTC(), Who: e.Author, Host: e.Host, Action: e.Action, Verdict: v, Base: base,
	}
	for _, d := range changes {
		r.Changes = append(r.Changes, audit.Change{Object: d.Ref.String(), Old: redact(d.Old), New: redact(d.New)})
	}
	return r
}

// redact shortens the digests in a TOML table.
func redact(table string) string {
	lines := strings.Split(table, "\n")
	for i, line := range lines {
		name, value, found := strings.Cut(line, " = ")
		if !found || name != "digest" {
			continue
		}
		value = strings.Trim(value, `'"`)
		lines[i] = name + ` = "` + value[:min(len(value), shownDigestBytes)] + `..."`
	}
	return strings.Join(lines, "\n")
}

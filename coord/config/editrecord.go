package config

import (
	"strings"
	"time"

	"github.com/balsamford/balsamford/coord/audit"
)

// shownDigestBytes is the length of a key's digest in audit records: the scheme
// and the salt, without the hash.
const shownDigestBytes = len(digestScheme) + 1 + 2*saltBytes

// record returns the audit record of an edit, with key digests shortened.
func (e *Edit) record(now time.Time, v audit.Verdict, base uint64, changes []Difference) audit.Record {
	r := audit.Record{
		ID: e.ID, When: now.UTC(), Who: e.Author, Host: e.Host, Action: e.Action, Verdict: v, Base: base,
	}
	for _, d := range changes {
		r.Changes = append(r.Changes, audit.Change{Object: d.Ref.String(), Old: redact(d.Old), New: redact(d.New)})
	}
	return r
}

// redact shortens the key digests in a TOML table to shownDigestBytes.
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

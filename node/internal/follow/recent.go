package follow

import (
	"slices"

	"github.com/balsamford/balsamford/platform"
)

// maxRecent bounds the changes that a Follower keeps for others. A busy deployment has some
// hundred changes a second, and who polls does so every second or two.
const maxRecent = 4096

// recent holds the latest changes of a table, in order.
type recent struct {
	rows  []platform.Row
	since int64 // the rows are complete after this version
}

// reset forgets all changes; later ones are complete after version.
func (r *recent) reset(version int64) { r.rows, r.since = nil, version }

// add appends changes. A watch may repeat changes after a full read, whose versions are no
// higher than the last one.
func (r *recent) add(rows []platform.Row) {
	r.rows = append(r.rows, rows...)
	if excess := len(r.rows) - maxRecent; excess > 0 {
		r.since = max(r.since, r.rows[excess-1].Version)
		r.rows = slices.Clone(r.rows[excess:])
	}
}

// after returns the changes after a version, and false if they are incomplete.
func (r *recent) after(version int64) ([]platform.Row, bool) {
	if version < r.since {
		return nil, false
	}
	var out []platform.Row
	for _, row := range r.rows {
		if row.Version > version {
			out = append(out, row)
		}
	}
	return out, true
}

package roster

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// updateSends is the number of messages in which a process repeats an update.
	updateSends = 12
	// maxUpdates bounds the updates in a message that isn't a whole list.
	maxUpdates = 8
	// maxListUpdates bounds the updates in a whole list.
	maxListUpdates = 128
)

// nextUpdatesLocked returns the updates for the next message, those first that
// were in the fewest messages.
func (r *Roster) nextUpdatesLocked(now time.Duration) []update {
	var pending []*entry
	for _, e := range r.known {
		if e.sendsLeft > 0 {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		if a.sendsLeft != b.sendsLeft {
			return b.sendsLeft - a.sendsLeft
		}
		return strings.Compare(a.member.Name, b.member.Name)
	})
	var out []update
	for _, e := range pending[:min(len(pending), maxUpdates)] {
		e.sendsLeft--
		out = append(out, e.update(now))
	}
	return out
}

// listLocked returns updates about all members that have been seen, live ones
// first.
func (r *Roster) listLocked(now time.Duration) []update {
	out := make([]update, 0, len(r.known))
	for _, e := range r.known {
		if e.seen {
			out = append(out, e.update(now))
		}
	}
	slices.SortFunc(out, func(a, b update) int {
		if a.Dead != b.Dead {
			return boolToInt(a.Dead)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return out[:min(len(out), maxListUpdates)]
}

// digestLocked returns a hash of the live members. It is never zero.
func (r *Roster) digestLocked() uint64 {
	h := xxhash.New()
	var buf []byte
	for _, name := range r.ringLocked() {
		m := r.self
		if e := r.known[name]; e != nil {
			m = e.member
		}
		buf = append(buf[:0], name...)
		buf = binary.BigEndian.AppendUint64(append(buf, 0), m.Epoch)
		buf = binary.BigEndian.AppendUint64(buf, m.Turn)
		buf = append(buf, byte(boolToInt(m.Leaving)))
		_, _ = h.Write(buf)
	}
	return max(h.Sum64(), 1)
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

package roster

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// wordSends is in how many messages a process passes a new word on.
	wordSends = 12
	// newsWords bounds the words in a message that isn't a whole list.
	newsWords = 8
	// listWords bounds the words in a whole list.
	listWords = 128
)

// newsLocked returns the words that are passed on next, those first that were
// in the fewest messages.
func (r *Roster) newsLocked(now time.Duration) []word {
	var fresh []*entry
	for _, e := range r.known {
		if e.sends > 0 {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		if a.sends != b.sends {
			return b.sends - a.sends
		}
		return strings.Compare(a.member.Name, b.member.Name)
	})
	var out []word
	for _, e := range fresh[:min(len(fresh), newsWords)] {
		e.sends--
		out = append(out, e.word(now))
	}
	return out
}

// listLocked returns words of all members that were met, those that live
// first.
func (r *Roster) listLocked(now time.Duration) []word {
	out := make([]word, 0, len(r.known))
	for _, e := range r.known {
		if e.met {
			out = append(out, e.word(now))
		}
	}
	slices.SortFunc(out, func(a, b word) int {
		if a.Dead != b.Dead {
			return order(a.Dead)
		}
		return strings.Compare(a.Name, b.Name)
	})
	return out[:min(len(out), listWords)]
}

// digestLocked returns a hash, never zero, of the members that live.
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
		buf = append(buf, byte(order(m.Leaving)))
		_, _ = h.Write(buf)
	}
	return max(h.Sum64(), 1)
}

// order is 1 for true and 0 for false.
func order(b bool) int {
	if b {
		return 1
	}
	return 0
}

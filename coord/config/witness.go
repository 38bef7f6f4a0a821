package config

import "time"

// noWitness says why a version isn't accepted although all that is missing
// should have lapsed.
const noWitness = "a writer that all missing processes ask for answers"

// witness is when a process was known to have a version, and which run of it.
// If it is a writer, whoever asks it for answers gets none for an older
// version from then on.
type witness struct {
	run string
	at  time.Duration
}

// lapse returns when the missing processes honour no keys of older versions,
// and whether that is certain.
//
// A process that is missing may go on through answers, so that the time since
// the write alone tells nothing. It has lapsed if a writer of which it needs an
// answer has known the version for long enough. The rolls by which missing
// processes ask are at least as new as their rows say. None is from after the
// write: a process knows all versions that were written before its roll. So a
// writer is asked by all of them if it was on the roll when the oldest of
// those was read, and still was after the write. Its last answer, if it has
// left since, is as good; and whoever has its name now doesn't answer for it.
func (r *round) lapse(missing []Peer) (end time.Duration, certain bool) {
	if r.listed == nil {
		return r.end, false
	}
	if r.roll.Number == 0 {
		return r.end, true
	}
	oldest := r.roll.Number
	for _, p := range missing {
		oldest = min(oldest, p.List)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	took := r.waiter.lapse(r.head)
	end = r.end
	for _, w := range r.roll.Writers {
		seen, ok := r.confirmed[w.Name]
		if !ok || seen.run != w.Run || w.Since > oldest {
			continue
		}
		if !certain || max(r.end, seen.at+took) < end {
			end, certain = max(r.end, seen.at+took), true
		}
	}
	return end, certain
}

package config

import "time"

// noWitness says why a version isn't accepted although all that is missing
// should have lapsed.
const noCommonWriter = "a writer that all missing processes ask for answers"

// witness is when a process was known to have a version, and which run of it.
// If it is a writer, whoever asks it for answers gets none for an older
// version from then on.
type ack struct {
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
func (r *waitState) lapseTime(missing []Peer) (end time.Duration, certain bool) {
	if r.listed == nil {
		return r.olderExpiry, false
	}
	if r.roll.Number == 0 {
		return r.olderExpiry, true
	}
	oldest := r.roll.Number
	for _, p := range missing {
		oldest = min(oldest, p.List)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := r.waiter.lapseDelay(r.head)
	end = r.olderExpiry
	for _, w := range r.roll.Writers {
		confirmed, ok := r.confirmed[w.Name]
		if !ok || confirmed.run != w.Run || w.Since > oldest {
			continue
		}
		if !certain || max(r.olderExpiry, confirmed.at+delay) < end {
			end, certain = max(r.olderExpiry, confirmed.at+delay), true
		}
	}
	return end, certain
}

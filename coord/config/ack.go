package config

import "time"

// noCommonWriter is the reason reported when all missing processes should have
// lapsed, but no writer is known that all of them ask for confirmation.
const noCommonWriter = "a writer that all missing processes ask for answers"

// ack is when a process was known to have applied a version, and the run that
// had. Once a writer has applied the version, it no longer confirms an older
// one to any process.
type ack struct {
	run string
	at  time.Duration
}

// lapseTime returns when the missing processes stop accepting keys of older
// versions, on the timer's Boot, and whether that is certain.
//
// While the platform is unavailable, the writers' answers can keep a missing
// process at its version for any length of time, so the time since the write
// alone proves nothing. The process has lapsed once a writer whose answer it
// needs has known the new version for longer than a confirmation lasts.
//
// A missing process asks the writers on the roll that it has read. That roll is
// at least as new as the number in the process's row, and it was read before
// the write, since a process knows all versions that were written before its
// roll. So a writer is asked by every missing process if it was on the roll
// with the lowest number in their rows and was still on the roll after the
// write. If that writer has left since, its last answer is as good; a new run
// of the same name doesn't answer for the old one.
func (r *waitState) lapseTime(missing []Peer) (end time.Duration, certain bool) {
	if r.listed == nil {
		return r.olderExpiry, false
	}
	if r.roll.Number == 0 {
		return r.olderExpiry, true
	}
	oldest := r.roll.Number
	for _, p := range missing {
		oldest = min(oldest, p.Roll)
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

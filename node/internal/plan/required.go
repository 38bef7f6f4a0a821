package plan

import "time"

// ticketsRequiredFor is how long the starts of a queue need tickets after an executor has
// refused one without. A configuration is in force everywhere after about that time.
const ticketsRequiredFor = time.Second

// Executors get a configuration earlier or later than this host. So they may require tickets
// for a queue that isn't advised here. Further starts without a ticket would be refused, too.

// requireTickets notes that an executor refused a start of a job for want of a ticket, or for
// an invalid one. If that is news, the queue's hint may have come since the adviser answered.
func (s *State) requireTickets(j *job, now time.Time) {
	if !s.advised(j, now) {
		for _, other := range s.jobs {
			if other.spec.Queue == j.spec.Queue {
				s.hintChanged(other)
			}
		}
	}
	s.ticketsRequired[j.spec.Queue] = now.Add(ticketsRequiredFor)
}

// advised reports whether starts of a job need tickets, by the configuration or since an
// executor has required one.
func (s *State) advised(j *job, now time.Time) bool {
	return j.queue.Advised || now.Before(s.ticketsRequired[j.spec.Queue])
}

package sched

import "time"

// waiting returns the number of queued requests.
func (p *pool) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, q := range p.queued {
		n += q
	}
	return n
}

// addQueued adds the number of queued requests of each queue to m.
func (p *pool) addQueued(m map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for q, n := range p.queued {
		m[q] += n
	}
}

// addWaits raises each queue's value in m to the waiting time of its oldest
// request.
func (p *pool) addWaits(m map[string]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	for _, t := range p.order {
		for _, q := range t.subqueues {
			if entries := q.fromHead(); len(entries) > 0 {
				m[q.queue] = max(m[q.queue], now.Sub(entries[0].submittedAt))
			}
		}
	}
}

package sched

import "time"

func (p *pool) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, q := range p.queued {
		n += q
	}
	return n
}

func (p *pool) countQueued(m map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for q, n := range p.queued {
		m[q] += n
	}
}

func (p *pool) countWaits(m map[string]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	for _, t := range p.order {
		for _, l := range t.lanes {
			if line := l.line(); len(line) > 0 {
				m[l.queue] = max(m[l.queue], now.Sub(line[0].since))
			}
		}
	}
}

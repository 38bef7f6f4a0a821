package check

import (
	"fmt"
	"time"
)

// The hint of a queue is added and taken away while jobs of it start.

func init() { cases["hint"] = hintCase }

// The changes come as in the sites' config_storm: one each 0.33 s, for 4 s.
const (
	stormGap   = 330 * time.Millisecond
	stormTime  = 4 * time.Second
	stormPause = 3 * time.Second
	storms     = 13
)

// hintJob has about as many tasks as the sheet's first kind of request: 1.6 steps of 6.
const hintJob = `{"spec":"ms=300,300 x","steps":[{"count":6,"cpu":2500,"mem_mb":512,"est_ms":300},{"count":4,"cpu":2500,"mem_mb":512,"est_ms":300,"after":[0]}]}`

func hintCase(p *platform, trouble bool) (bool, error) {
	plain := newRoute("r-nony", "/lohu930/")
	hinted := plain
	hinted.Hint = &hint{Decide: 21, Each: 0.29, Valid: int(validFor.Milliseconds())}
	if err := p.start(2, 12, plain); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	end := make(chan struct{})
	go func() { // 15.4 jobs a second, as the sheet's first kind of request (15.5).
		for tick := time.NewTicker(65 * time.Millisecond); ; {
			select {
			case <-end:
				return
			case <-tick.C:
				go p.submit(plain.Name, plain.Prefix, newID(), hintJob)
			}
		}
	}()
	time.Sleep(2 * time.Second)
	for range storms {
		for i := range int(stormTime / stormGap) {
			switch {
			case i%2 == 0 && trouble:
				p.config.change("the queue gets a hint", hinted)
			default:
				p.config.change("the queue has no hint", plain)
			}
			time.Sleep(stormGap)
		}
		time.Sleep(stormPause)
	}
	close(end)
	often, all := 0, 0
	for _, h := range p.hosts {
		n := h.crashed()
		p.rec.add("%s: its process ended by itself %d times", h.name, n)
		if all += n; n >= 3 {
			often++
		}
	}
	p.rec.add("%d starts rejected for want of a ticket", p.judge.tickets)
	fmt.Println("crashes:", all)
	return often >= 2, nil
}

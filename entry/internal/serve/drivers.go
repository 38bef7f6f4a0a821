package serve

import "sync"

// driverLimit is how many jobs' drivers are remembered.
const driverLimit = 4096

// drivers remembers which placer drives a job, so that its state can be asked
// for without the platform.
type drivers struct {
	mu    sync.Mutex // guards the fields below
	names map[string]string
	order []string
}

func (d *drivers) set(id, placer string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.names == nil {
		d.names = make(map[string]string)
	}
	if _, ok := d.names[id]; !ok {
		d.order = append(d.order, id)
	}
	d.names[id] = placer
	if len(d.order) > driverLimit {
		delete(d.names, d.order[0])
		d.order = d.order[1:]
	}
}

func (d *drivers) get(id string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.names[id]
}

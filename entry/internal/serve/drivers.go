package serve

import "sync"

// maxDrivers is the largest number of jobs in the cache.
const maxDrivers = 4096

// drivers caches which placer drives each job, so that a job's state can be
// queried from its driver without reading the platform. When the cache is full
// it evicts the job that was added first.
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
	if len(d.order) > maxDrivers {
		delete(d.names, d.order[0])
		d.order = d.order[1:]
	}
}

func (d *drivers) get(id string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.names[id]
}

package jobs

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/owner"
	"github.com/balsamford/balsamford/coord/roster"
	"github.com/balsamford/balsamford/coord/wire"
)

const (
	// scanPeriod is the time between looks at the zone's jobs by the placer
	// whose turn it is.
	scanPeriod = 3 * time.Second
	// orphanScans is how many looks in a row have to find a job without a
	// driver, so that the entry that wrote it can offer it first.
	orphanScans = 2
	// scanKey is what the placers of a zone hash to agree on who scans.
	scanKey = "scan"
)

// scanLoop looks for jobs of the zone that no live placer drives. One placer
// does it for all; each does it by itself when the set of live ones has
// changed, also when it has just started.
func (d *Driver) scanLoop(ctx context.Context) {
	last := ""
	orphans := make(map[string]int)
	for d.timer.Sleep(ctx, scanPeriod) == nil {
		names := d.liveNames()
		now := strings.Join(names, " ")
		unsure := d.unsure.Swap(false)
		if now == last && !unsure && owner.Of(scanKey, names) != d.name {
			continue
		}
		if d.scan(ctx, names, orphans) {
			last = now
		} else if unsure {
			d.unsure.Store(true)
		}
	}
}

func (d *Driver) liveNames() []string {
	var names []string
	for _, m := range d.members.Live() {
		if m.Zone == d.zone {
			names = append(names, m.Name)
		}
	}
	return names
}

// scan offers each orphan to the placer that should drive it, and reports
// whether every job has a driver. One whose row names this placer is known to
// no other, which sees that it lives.
func (d *Driver) scan(ctx context.Context, names []string, orphans map[string]int) bool {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	rows, err := d.table.Scan(ctx, tableName, d.key(""))
	if err != nil {
		return false
	}
	seen := make(map[string]bool)
	all := true
	for i := range rows {
		row := new(wire.Job)
		if err := cbor.Unmarshal(rows[i].Value, row); err != nil {
			d.log.Error("job can't be read", zap.String("key", rows[i].Key), zap.Error(err))
			continue
		}
		if !d.orphan(row) {
			d.remind(ctx, row)
			continue
		}
		id := row.Request.ID
		seen[id] = true
		if orphans[id]++; row.Driver == d.name {
			all = d.offer(ctx, &row.Request, d.name) && all
			continue
		}
		all = orphans[id] >= orphanScans && d.offer(ctx, &row.Request, owner.Of(id, names)) && all
	}
	for id := range orphans {
		if !seen[id] {
			delete(orphans, id)
		}
	}
	return all
}

// orphan reports whether no live placer drives the job.
func (d *Driver) orphan(row *wire.Job) bool {
	if row.Outcome != "" {
		return false
	}
	if row.Driver == d.name {
		return d.find(row.Request.ID) == nil
	}
	m, alive := d.members.Alive(row.Driver)
	return !alive || m.Leaving
}

// remind tells a job's driver of a cancellation that was only written into the
// row, because the driver couldn't be reached then. It is repeated until the
// job has ended, so that a stop which got lost is sent again.
func (d *Driver) remind(ctx context.Context, row *wire.Job) {
	if !row.Cancel || row.Outcome != "" {
		return
	}
	if j := d.find(row.Request.ID); j != nil {
		d.cancel(j)
		return
	}
	if m, alive := d.members.Alive(row.Driver); alive {
		var out wire.Cancelled
		_ = d.caller.Call(ctx, m.Link, wire.VerbCancel, wire.Lookup{ID: row.Request.ID}, &out)
	}
}

// offer gives a job to a placer of the zone, which may be this one, and
// reports whether it drives it now.
func (d *Driver) offer(ctx context.Context, req *wire.Request, name string) bool {
	if name == d.name {
		_, _, err := d.take(ctx, req.ID)
		return err == nil
	}
	m, alive := d.members.Alive(name)
	return alive && d.offerTo(ctx, req, m)
}

func (d *Driver) offerTo(ctx context.Context, req *wire.Request, m roster.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	defer cancel()
	s, err := d.caller.Open(ctx, m.Link, wire.VerbPlace)
	if err != nil {
		return false
	}
	defer s.Cancel()
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	if s.Send(req) != nil || s.CloseSend() != nil {
		return false
	}
	var event wire.Event
	return s.Recv(&event) == nil && (event.Phase == wire.Queued || event.Phase == wire.Ended)
}

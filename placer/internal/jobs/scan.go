package jobs

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/ledger"
	"github.com/balsamford/balsamford/coord/owner"
	"github.com/balsamford/balsamford/coord/roster"
	"github.com/balsamford/balsamford/coord/wire"
)

const (
	// scanInterval is the time between scans of the zone's open jobs.
	scanInterval = 3 * time.Second
	// orphanScans is the number of consecutive scans that have to find a job
	// without a driver before it is offered. The delay lets the entry server
	// that wrote the job offer it first.
	orphanScans = 2
	// notifyScans is the number of scans after which drivers are notified
	// which jobs' rows name them.
	notifyScans = 3
	// maxIDsPerRequest bounds the jobs in one such notification.
	maxIDsPerRequest = 512
	// scanKey is hashed over the live placers of a zone to choose the one that
	// scans.
	scanKey = "scan"
)

// scanner is the state that scanLoop keeps between scans.
type scanner struct {
	round   int
	orphans map[string]int // by job id, consecutive scans that found no driver
}

// scanLoop scans the zone for open jobs that no live placer drives. One placer does
// it regularly for all. Every placer also scans after its own start and after a
// change of the set of live placers, until every open job has a driver, and when
// needScan is set.
func (d *Driver) scanLoop(ctx context.Context) {
	last := ""
	s := &scanner{orphans: make(map[string]int)}
	for d.timer.Sleep(ctx, scanInterval) == nil {
		names := d.liveNames()
		now := strings.Join(names, " ")
		forced := d.needScan.Swap(false)
		if now == last && !forced && owner.Of(scanKey, names) != d.name {
			continue
		}
		if d.scan(ctx, names, s) {
			last = now
		} else if forced {
			d.needScan.Store(true)
		}
	}
}

// liveNames returns the names of the live placers of the zone.
func (d *Driver) liveNames() []string {
	var names []string
	for _, m := range d.members.Live() {
		if m.Zone == d.zone {
			names = append(names, m.Name)
		}
	}
	return names
}

// openJob is an entry of the index of open jobs.
type openJob struct {
	id string
	ledger.Open
}

// scan offers each orphaned job to the placer that should drive it and forwards
// cancellations to drivers. It reports whether every open job has a driver now.
func (d *Driver) scan(ctx context.Context, names []string, s *scanner) bool {
	list, err := d.list(ctx)
	if err != nil {
		return false
	}
	s.round++
	orphans := make(map[string]int)
	named := make(map[string][]string)
	driven := make([]bool, len(list))
	var g errgroup.Group
	g.SetLimit(parallelOffers)
	for i, o := range list {
		if !d.isOrphan(&o) {
			named[o.Driver] = append(named[o.Driver], o.id)
			driven[i] = true
			g.Go(func() error { d.resendCancel(ctx, &o); return nil })
			continue
		}
		orphans[o.id] = s.orphans[o.id] + 1
		to := owner.Of(o.id, names)
		if o.Driver == d.name {
			to = d.name // other placers can't see that this one doesn't drive the job
		} else if orphans[o.id] < orphanScans {
			continue
		}
		g.Go(func() error { driven[i] = d.offer(ctx, o.id, to); return nil })
	}
	_ = g.Wait()
	s.orphans = orphans
	if s.round%notifyScans == 0 {
		d.notifyDrivers(ctx, named)
	}
	return !slices.Contains(driven, false)
}

// list reads the index of the zone's open jobs.
func (d *Driver) list(ctx context.Context) ([]openJob, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rows, err := d.table.Scan(ctx, ledger.Opens, ledger.Prefix(d.zone))
	if err != nil {
		return nil, err
	}
	list := make([]openJob, 0, len(rows))
	for i := range rows {
		o := openJob{id: strings.TrimPrefix(rows[i].Key, ledger.Prefix(d.zone))}
		if err := cbor.Unmarshal(rows[i].Value, &o.Open); err != nil {
			d.log.Error("cannot decode index entry of open job", zap.String("key", rows[i].Key), zap.Error(err))
			continue
		}
		list = append(list, o)
	}
	return list, nil
}

// isOrphan reports whether no live placer drives an open job. A driver that is
// leaving doesn't count.
func (d *Driver) isOrphan(o *openJob) bool {
	if o.Driver == d.name {
		return d.find(o.id) == nil
	}
	m, alive := d.members.Alive(o.Driver)
	return !alive || m.Leaving
}

// notifyDrivers sends the other placers the ids of the jobs whose rows name them,
// since only the placer itself can see that it doesn't drive one of them.
func (d *Driver) notifyDrivers(ctx context.Context, named map[string][]string) {
	var g errgroup.Group
	g.SetLimit(parallelOffers)
	for name, ids := range named {
		m, alive := d.members.Alive(name)
		if !alive || name == d.name {
			continue
		}
		g.Go(func() error { d.notifyDriver(ctx, m, ids); return nil })
	}
	_ = g.Wait()
}

// notifyDriver sends a placer the ids of the jobs whose rows name it.
func (d *Driver) notifyDriver(ctx context.Context, m roster.Member, ids []string) {
	for len(ids) > 0 {
		n := min(len(ids), maxIDsPerRequest)
		if _, err := d.callPeer(ctx, m, &peerRequest{Drives: ids[:n]}); err != nil {
			return
		}
		ids = ids[n:]
	}
}

// resendCancel forwards a cancellation in a job's row to its driver, which may have
// been unreachable when the row was written. Each scan repeats it until the job has
// ended, so that a lost stop is sent again.
func (d *Driver) resendCancel(ctx context.Context, o *openJob) {
	if !o.Cancel {
		return
	}
	if j := d.find(o.id); j != nil {
		d.cancel(j)
		return
	}
	m, alive := d.members.Alive(o.Driver)
	if !alive || o.Driver == d.name {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var out wire.Cancelled
	_ = d.caller.Call(ctx, m.Link, wire.VerbCancel, wire.Lookup{ID: o.id}, &out)
}

// offer offers a job to a placer of the zone, which may be this one. It reports
// whether that placer drives the job now or the job has ended.
func (d *Driver) offer(ctx context.Context, id, name string) bool {
	if name == d.name {
		_, _, err := d.takeOver(ctx, id)
		return err == nil
	}
	m, alive := d.members.Alive(name)
	if !alive {
		return false
	}
	row, _, err := d.readRow(ctx, id)
	if err != nil {
		return false
	}
	return row.Outcome != "" || d.offerTo(ctx, &row.Request, m)
}

// offerTo offers a job to another placer and reports whether that accepted it.
func (d *Driver) offerTo(ctx context.Context, req *wire.Request, m roster.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
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

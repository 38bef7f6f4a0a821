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
	// scanPeriod is the time between looks at the zone's jobs by the placer
	// whose turn it is.
	scanInterval = 3 * time.Second
	// orphanScans is how many looks in a row have to find a job without a
	// driver, so that the entry that wrote it can offer it first.
	orphanScans = 2
	// nameScans is after how many looks drivers are told which jobs' rows
	// name them.
	notifyScans = 3
	// maxNames bounds the jobs in one such note.
	maxIDsPerRequest = 512
	// scanKey is what the placers of a zone hash to agree on who scans.
	scanKey = "scan"
)

// scanner is what scanLoop knows from one look to the next.
type scanner struct {
	round   int
	orphans map[string]int // looks in a row that found the job without a driver
}

// scanLoop looks for jobs of the zone that no live placer drives. One placer
// does it for all; each does it by itself when the set of live ones has
// changed, also when it has just started.
func (d *Driver) scanLoop(ctx context.Context) {
	last := ""
	s := &scanner{orphans: make(map[string]int)}
	for d.timer.Sleep(ctx, scanInterval) == nil {
		names := d.liveNames()
		now := strings.Join(names, " ")
		unsure := d.needScan.Swap(false)
		if now == last && !unsure && owner.Of(scanKey, names) != d.name {
			continue
		}
		if d.scan(ctx, names, s) {
			last = now
		} else if unsure {
			d.needScan.Store(true)
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

// openJob is an open job as the index has it.
type openJob struct {
	id string
	ledger.Open
}

// scan offers each orphan to the placer that should drive it, and reports
// whether every job has a driver.
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
			to = d.name // no other one sees that it doesn't drive the job
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
			d.log.Error("open job can't be read", zap.String("key", rows[i].Key), zap.Error(err))
			continue
		}
		list = append(list, o)
	}
	return list, nil
}

// orphan reports whether no live placer drives an open job.
func (d *Driver) isOrphan(o *openJob) bool {
	if o.Driver == d.name {
		return d.find(o.id) == nil
	}
	m, alive := d.members.Alive(o.Driver)
	return !alive || m.Leaving
}

// tellNamed tells the other placers which jobs' rows name them, since only
// the placer itself can see that it doesn't drive one of them.
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

func (d *Driver) notifyDriver(ctx context.Context, m roster.Member, ids []string) {
	for len(ids) > 0 {
		n := min(len(ids), maxIDsPerRequest)
		if _, err := d.callPeer(ctx, m, &peerRequest{Drives: ids[:n]}); err != nil {
			return
		}
		ids = ids[n:]
	}
}

// remind tells a job's driver of a cancellation that was only written into the
// row, because the driver couldn't be reached then. It is repeated until the
// job has ended, so that a stop which got lost is sent again.
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

// offer gives a job to a placer of the zone, which may be this one, and
// reports whether it drives it now or the job has ended.
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

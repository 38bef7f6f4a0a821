package owner

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/follow"
)

const (
	// submissionsGap is the least time between two polls of the submissions on a host
	// that may have to take the cell over. A new owner polls at once.
	submissionsGap = 1500 * time.Millisecond
	// ownSubmissionsGap is the least time between two polls on the owner, which other
	// hosts notify of the jobs that they store.
	ownSubmissionsGap = 500 * time.Millisecond
)

// submissionsCopy is a copy of the submissions that is kept up to date until cancel is
// called.
type submissionsCopy struct {
	rows     *board.Submissions
	follower *follow.Follower
	cancel   context.CancelFunc
}

// synced reports whether the copy, nil for none, is complete and is kept up to date.
func (c *submissionsCopy) synced() bool {
	return c != nil && c.follower.Version() > 0 && !c.follower.Failing()
}

// spareCopies is how many hosts keep a copy of the submissions beside the owner and its
// successors. Each copy costs as much as all clients' submissions do.
const spareCopies = 2

// mostPowerful reports whether this host is one of spareCopies hosts than which none has more
// processor time. The most powerful hosts rank first after the successors. Some of them keep a
// copy of the submissions in advance, since reading all of them takes long and fails while a
// partition of the store is unavailable.
func (o *Owner) mostPowerful() bool {
	self, ok := o.board.Host(o.host)
	if !ok || slices.ContainsFunc(o.board.Hosts(), func(h board.Host) bool { return h.Power > self.Power }) {
		return false
	}
	const anyEpoch = 0 // The same hosts keep the copies from owner to owner.
	return o.powerRank(anyEpoch) < spareCopies
}

// copySubmissions starts or stops keeping a copy of the submissions.
func (o *Owner) copySubmissions(ctx context.Context, g *errgroup.Group, wanted bool) {
	if wanted == (o.submissions != nil) {
		return
	}
	if !wanted {
		o.submissions.cancel()
		o.submissions = nil
		o.submissionRows.Store(nil)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	rows := board.NewSubmissions(o.logger)
	f := follow.New(o.store, o.clock, board.Submitted, board.Parts(), rows, follow.WithGap(submissionsGap), follow.WithLogger(o.logger))
	o.submissions = &submissionsCopy{rows: rows, follower: f, cancel: cancel}
	o.submissionRows.Store(rows)
	g.Go(func() error { return f.Run(ctx) })
}

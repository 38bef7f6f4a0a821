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
	// submissionsGap is the least time between two looks for submissions of a host that
	// may have to take the cell over; a new owner looks at once.
	submissionsGap = 1500 * time.Millisecond
	// ownSubmissionsGap is the same for the owner, whom the hosts tell of what they
	// store.
	ownSubmissionsGap = 500 * time.Millisecond
)

// copied is a copy of the submissions that is kept up to date until end is called.
type copied struct {
	rows     *board.Submissions
	follower *follow.Follower
	end      context.CancelFunc
}

// strong reports whether no host has more processor time than this one: such hosts take
// over first. They keep a copy of the submissions, since reading them all takes long
// and can't be done while one of the store's partitions is away.
func (o *Owner) strong() bool {
	self, ok := o.board.Host(o.host)
	return ok && !slices.ContainsFunc(o.board.Hosts(), func(h board.Host) bool { return h.Power > self.Power })
}

// copySubmissions begins or ends to keep a copy of the submissions.
func (o *Owner) copySubmissions(ctx context.Context, g *errgroup.Group, wanted bool) {
	if wanted == (o.copied != nil) {
		return
	}
	if !wanted {
		o.copied.end()
		o.copied = nil
		return
	}
	ctx, end := context.WithCancel(ctx)
	rows := board.NewSubmissions(o.logger)
	f := follow.New(o.store, o.clock, board.Submitted, board.Parts(), rows, follow.WithGap(submissionsGap), follow.WithLogger(o.logger))
	o.copied = &copied{rows: rows, follower: f, end: end}
	g.Go(func() error { return f.Run(ctx) })
}

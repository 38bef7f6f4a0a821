package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/model"
)

const (
	newsVerb = "news"
	// newsQueued bounds what waits to be told; what doesn't fit comes by the board.
	newsQueued = 256
	// newsTimeout bounds telling the owner, which takes a few milliseconds.
	newsTimeout = 300 * time.Millisecond
	// muteTime is how long an owner that didn't answer isn't asked.
	muteTime = 400 * time.Millisecond
)

// news is what a host has stored and the owner may not have seen on the board yet.
type news struct {
	Jobs      []*model.Job `cbor:"1,keyasint,omitempty"`
	Cancelled []string     `cbor:"2,keyasint,omitempty"`
}

// heard answers news.
type heard struct{}

// Submitted tells the owner of a job that has been stored. It doesn't wait: without
// it the owner hears of the job by the board, some time later.
func (o *Owner) Submitted(j *model.Job) { o.enqueue(news{Jobs: []*model.Job{j}}) }

// Cancelled does the same for a cancellation.
func (o *Owner) Cancelled(id string) { o.enqueue(news{Cancelled: []string{id}}) }

func (o *Owner) enqueue(n news) {
	select {
	case o.news <- n:
	default:
	}
}

// Tell passes on what Submitted and Cancelled were given until ctx ends. It always
// returns nil, so that it can be a member of a group.
func (o *Owner) Tell(ctx context.Context) error {
	for {
		var n news
		select {
		case <-ctx.Done():
			return nil
		case n = <-o.news:
		}
		for more := true; more; {
			select {
			case next := <-o.news:
				n.Jobs, n.Cancelled = append(n.Jobs, next.Jobs...), append(n.Cancelled, next.Cancelled...)
			default:
				more = false
			}
		}
		o.tell(ctx, &n)
	}
}

// tell gives news to the owner, which may be this host.
func (o *Owner) tell(ctx context.Context, n *news) {
	if t := o.current(); t != nil {
		t.hear(n)
		return
	}
	if err := o.call(ctx, newsVerb, newsTimeout, n, &heard{}); err != nil {
		o.logger.Info("owner not told", zap.Int("jobs", len(n.Jobs)), zap.Error(err))
	}
}

// call asks the host that owns the cell by the board. One that doesn't answer isn't
// asked again for a moment: it may have died.
func (o *Owner) call(ctx context.Context, verb string, timeout time.Duration, in, out any) error {
	row, _ := o.board.Owner()
	h, ok := o.board.Host(row.Host)
	o.mu.Lock()
	mute := row.Epoch == o.muteEpoch && o.clock.Now().Before(o.muteUntil)
	o.mu.Unlock()
	if !ok || row.Resigned || o.node == nil || mute {
		return &NoOwnerError{Epoch: row.Epoch, Mute: mute}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := o.node.Call(ctx, h.Link, verb, in, out)
	if err != nil {
		o.mu.Lock()
		o.muteEpoch, o.muteUntil = row.Epoch, o.clock.Now().Add(muteTime)
		o.mu.Unlock()
	}
	return err
}

// hearNews serves other hosts' news.
func (o *Owner) hearNews(_ context.Context, s *link.Stream) error {
	var n news
	if err := s.Recv(&n); err != nil {
		return err
	}
	if t := o.current(); t != nil {
		t.hear(&n)
	}
	return s.Send(&heard{})
}

// current returns the present term, nil if this host doesn't own the cell.
func (o *Owner) current() *term {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.term
}

// hear takes news into the plan. Before the term has loaded what was recorded, a
// job that is there already would be taken for a new one.
func (t *term) hear(n *news) {
	t.mu.Lock()
	loaded := t.loaded
	t.mu.Unlock()
	if !loaded {
		return
	}
	for _, j := range n.Jobs {
		t.JobAccepted(j)
	}
	for _, id := range n.Cancelled {
		t.JobCancelled(id)
	}
}

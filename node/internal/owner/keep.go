package owner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

const (
	keepVerb = "keep"
	// keepTimeout bounds having a row written by the owner's host; a slow store takes
	// half a second for a write, and another one may be before it.
	keepTimeout = 1700 * time.Millisecond
	// pingAfter is how long there may be no answer until the owner is asked whether
	// it lives.
	pingAfter = 120 * time.Millisecond
)

// Keeper has rows created unless the first of them, which is one of the board, is
// there, several hosts' rows in one write. Errors are those of front.
type Keeper interface {
	Keep(id string, puts []platform.Put) error
}

// keeping asks for a row of the board to be created, and one of the submissions with it.
type keeping struct {
	ID        string `cbor:"1,keyasint"` // of the job
	Part      string `cbor:"2,keyasint"`
	Key       string `cbor:"3,keyasint"`
	Value     []byte `cbor:"4,keyasint"`
	Submitted []byte `cbor:"5,keyasint,omitempty"` // value of the other row, if there is one
}

// keepingOf returns the question for rows.
func keepingOf(id string, puts []platform.Put) *keeping {
	q := &keeping{ID: id, Part: puts[0].Part, Key: puts[0].Key, Value: puts[0].Value}
	if len(puts) > 1 {
		q.Submitted = puts[1].Value
	}
	return q
}

// puts returns the rows.
func (q *keeping) puts() []platform.Put {
	out := []platform.Put{{Table: board.Table, Part: q.Part, Key: q.Key, Value: q.Value}}
	if len(q.Submitted) > 0 {
		out = append(out, platform.Put{Table: board.Submitted, Part: q.Part, Key: q.ID, Value: q.Submitted})
	}
	return out
}

// kept answers it.
type kept struct {
	Done    bool `cbor:"1,keyasint,omitempty"`
	Refused bool `cbor:"2,keyasint,omitempty"` // it surely never will be
}

// Kept is what came of having a row created by the owner's host.
type Kept int

// The outcomes.
const (
	NotAsked  Kept = iota // there is no other host to ask
	NotKept               // it surely wasn't and won't be
	IsKept                // the row is there
	MayBeKept             // nobody knows
)

// Keep has the owner's host create rows, the first of which is one of the board, unless
// that is there. A slow store does the writes of a partition one after the other, each
// host's own ones too; this way the rows of all hosts share them.
func (o *Owner) Keep(id string, puts []platform.Put) Kept {
	if o.current() != nil {
		return NotAsked
	}
	ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	type result struct {
		kept
		err error
	}
	done := make(chan result, 1)
	var g errgroup.Group
	g.Go(func() error {
		var r result
		r.err = o.call(ctx, keepVerb, keepTimeout, keepingOf(id, puts), &r.kept)
		done <- r
		return nil
	})
	late := make(chan struct{})
	t := o.clock.After(pingAfter, func() { close(late) })
	defer t.Stop()
	var r result
	select {
	case r = <-done:
	case <-late:
		if !o.ownerAnswers() {
			cancel()
		}
		r = <-done
	}
	_ = g.Wait() // It never fails.
	var never *NoOwnerError
	var dial *link.DialError
	switch {
	case r.err == nil && r.Done:
		return IsKept
	case r.err == nil && r.Refused:
		return NotKept
	case errors.As(r.err, &never), errors.As(r.err, &dial):
		return NotAsked
	}
	o.logger.Info("row may be kept by the owner", zap.String("id", id), zap.Error(r.err))
	return MayBeKept
}

// ownerAnswers reports whether the host that owns the cell by the board answers.
func (o *Owner) ownerAnswers() bool {
	row, _ := o.board.Owner()
	h, ok := o.board.Host(row.Host)
	return ok && o.answers(h)
}

// ServeKeeping has k create rows for other hosts while this host owns the cell. It
// has to be called before the node listens.
func (o *Owner) ServeKeeping(k Keeper) { o.keeper = k }

// keepFor serves other hosts' rows.
func (o *Owner) keepFor(_ context.Context, s *link.Stream) error {
	var q keeping
	if err := s.Recv(&q); err != nil {
		return err
	}
	t := o.current()
	if t == nil {
		return s.Send(&kept{Refused: true})
	}
	err := o.keeper.Keep(q.ID, q.puts())
	if err != nil {
		var lost *platform.LostError
		o.logger.Info("row of another host not kept", zap.String("id", q.ID), zap.String("from", s.From()), zap.Error(err))
		return s.Send(&kept{Refused: !errors.As(err, &lost)})
	}
	t.hear(newsOf(o, &q))
	return s.Send(&kept{Done: true})
}

// newsOf returns what a created row says.
func newsOf(o *Owner, q *keeping) *news {
	if q.Key == board.CancelKey(q.ID) {
		return &news{Cancelled: []string{q.ID}}
	}
	if len(q.Submitted) == 0 {
		return &news{} // A host of an earlier format sent it; the board tells of it.
	}
	var job model.Job
	if err := board.Decode(platform.Row{Table: board.Submitted, Key: q.ID, Value: q.Submitted}, &job); err != nil {
		o.logger.Warn("row of another host left out", zap.String("id", q.ID), zap.Error(err))
		return &news{}
	}
	return &news{Jobs: []*model.Job{&job}}
}

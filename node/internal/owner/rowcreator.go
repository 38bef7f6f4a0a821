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
	createVerb = "keep"
	// createTimeout bounds a call that creates rows on the owner's host. A slow store
	// takes half a second for a write, and another write may be ahead in the queue.
	createTimeout = 1700 * time.Millisecond
	// livenessCheckDelay is how long to wait for a response before checking whether the
	// owner is alive.
	livenessCheckDelay = 120 * time.Millisecond
)

// RowCreator creates rows in the store on behalf of other hosts; front.Service implements
// it. CreateRows creates puts, unless the first of them, a row of the board, exists. It
// combines rows of several hosts into one write. Its errors are those of
// front.Service.CreateRows.
type RowCreator interface {
	CreateRows(id string, puts []platform.Put) error
}

// createRequest asks the owner's host to create a row of the board and, optionally, the
// job's submission.
type createRequest struct {
	ID        string `cbor:"1,keyasint"` // job ID
	Part      string `cbor:"2,keyasint"`
	Key       string `cbor:"3,keyasint"`
	Value     []byte `cbor:"4,keyasint"`
	Submitted []byte `cbor:"5,keyasint,omitempty"` // value of the submission's row, if there is one
}

// newCreateRequest returns the request to create puts for a job. The first put is the row
// of the board; the second, if any, is the submission.
func newCreateRequest(id string, puts []platform.Put) *createRequest {
	q := &createRequest{ID: id, Part: puts[0].Part, Key: puts[0].Key, Value: puts[0].Value}
	if len(puts) > 1 {
		q.Submitted = puts[1].Value
	}
	return q
}

// puts returns the rows to create.
func (q *createRequest) puts() []platform.Put {
	out := []platform.Put{{Table: board.Table, Part: q.Part, Key: q.Key, Value: q.Value}}
	if len(q.Submitted) > 0 {
		out = append(out, platform.Put{Table: board.Submitted, Part: q.Part, Key: q.ID, Value: q.Submitted})
	}
	return out
}

// createReply is the response to a createRequest.
type createReply struct {
	Done    bool `cbor:"1,keyasint,omitempty"` // the rows exist
	Refused bool `cbor:"2,keyasint,omitempty"` // the rows weren't created and won't be
}

// CreateOutcome is the outcome of creating rows through the owner's host.
type CreateOutcome int

// Outcomes of creating rows through the owner's host.
const (
	NotAsked       CreateOutcome = iota // no request reached an owner: this host owns the cell, or the owner is unknown or unreachable
	NotCreated                          // the rows weren't created and won't be
	RowsExist                           // the rows exist
	OutcomeUnknown                      // the outcome is unknown
)

// CreateRows has the owner's host create rows, unless the first of them, a row of the
// board, exists. A slow store applies the writes to a partition one after the other. If each host
// wrote its own rows, the writes would queue; the owner's host combines the rows of all
// hosts into shared writes.
func (o *Owner) CreateRows(id string, puts []platform.Put) CreateOutcome {
	if o.currentTerm() != nil {
		return NotAsked
	}
	ctx, cancel := context.WithTimeout(context.Background(), createTimeout)
	defer cancel()
	type result struct {
		createReply
		err error
	}
	done := make(chan result, 1)
	var g errgroup.Group
	g.Go(func() error {
		var r result
		r.err = o.callOwner(ctx, createVerb, createTimeout, newCreateRequest(id, puts), &r.createReply)
		done <- r
		return nil
	})
	late := make(chan struct{})
	t := o.clock.After(livenessCheckDelay, func() { close(late) })
	defer t.Stop()
	var r result
	select {
	case r = <-done:
	case <-late:
		if !o.ownerResponds() {
			cancel()
		}
		r = <-done
	}
	_ = g.Wait() // It never fails.
	var noOwner *NoOwnerError
	var dial *link.DialError
	switch {
	case r.err == nil && r.Done:
		return RowsExist
	case r.err == nil && r.Refused:
		return NotCreated
	case errors.As(r.err, &noOwner), errors.As(r.err, &dial):
		return NotAsked
	}
	o.logger.Info("row may be kept by the owner", zap.String("id", id), zap.Error(r.err))
	return OutcomeUnknown
}

// ownerResponds reports whether the host that the board names as the owner responds.
func (o *Owner) ownerResponds() bool {
	row, _ := o.board.Owner()
	h, ok := o.board.Host(row.Host)
	return ok && o.responds(h)
}

// SetRowCreator sets the creator of rows for other hosts while this host owns the cell. It
// must be called before the node listens.
func (o *Owner) SetRowCreator(k RowCreator) { o.rowCreator = k }

// serveCreate handles create requests from other hosts.
func (o *Owner) serveCreate(_ context.Context, s *link.Stream) error {
	var q createRequest
	if err := s.Recv(&q); err != nil {
		return err
	}
	t := o.currentTerm()
	if t == nil {
		return s.Send(&createReply{Refused: true})
	}
	err := o.rowCreator.CreateRows(q.ID, q.puts())
	if err != nil {
		var lost *platform.LostError
		o.logger.Info("creating rows for another host failed", zap.String("id", q.ID), zap.String("from", s.From()), zap.Error(err))
		return s.Send(&createReply{Refused: !errors.As(err, &lost)})
	}
	t.applyNotification(notificationFor(o, &q))
	return s.Send(&createReply{Done: true})
}

// notificationFor returns the notification about the rows that were created for q.
func notificationFor(o *Owner, q *createRequest) *notification {
	if q.Key == board.CancelKey(q.ID) {
		return &notification{Cancelled: []string{q.ID}}
	}
	if len(q.Submitted) == 0 {
		return &notification{} // The sender writes an earlier row format; the job comes with the board.
	}
	var job model.Job
	if err := board.Decode(platform.Row{Table: board.Submitted, Key: q.ID, Value: q.Submitted}, &job); err != nil {
		o.logger.Warn("skipping notification: created row not decoded", zap.String("id", q.ID), zap.Error(err))
		return &notification{}
	}
	return &notification{Jobs: []*model.Job{&job}}
}

package serve

import (
	"context"
	"errors"
	"time"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/jobs"
	"github.com/balsamford/balsamford/entry/internal/record"
)

const (
	// verbInquire sends an inquiry and receives a lookupResult.
	verbInquire = "inquire"
	// statusTimeout limits one status call to another process.
	statusTimeout = 2 * time.Second
	// cancelTimeout limits the wait for a cancelled request to end.
	cancelTimeout = 2 * time.Second
)

// inquiry is the message that queries a holder of a request's record for the
// request's state.
type inquiry struct {
	ID     string `cbor:"id"`
	Team   string `cbor:"team"`
	Body   bool   `cbor:"body,omitempty"`   // include the recorded answer
	Cancel bool   `cbor:"cancel,omitempty"` // cancel the request first
}

// lookupResult is the state of a request as far as it is known.
type lookupResult struct {
	Found         bool        `cbor:"found"`
	Authoritative bool        `cbor:"sure,omitempty"` // the host's records are complete, so an id that isn't found doesn't exist
	Phase         wire.Phase  `cbor:"phase,omitempty"`
	Note          record.Note `cbor:"note"`
	Job           *jobs.View  `cbor:"job,omitempty"`
}

// handleInquire serves verbInquire.
func (s *Service) handleInquire(ctx context.Context, stream *link.Stream) error {
	var q inquiry
	if err := stream.Recv(&q); err != nil {
		return err
	}
	return stream.Send(s.lookupLocal(ctx, q))
}

// lookup searches for a request in this process, at the other holders of its
// record, and among the jobs, in this order.
func (s *Service) lookup(ctx context.Context, q inquiry) lookupResult {
	f := s.lookupLocal(ctx, q)
	if f.Found {
		return f
	}
	first, second := s.Ring.Holders(q.ID)
	authoritative := f.Authoritative && (first.Name == s.Self.Name || second.Name == s.Self.Name)
	for _, h := range []record.Host{first, second} {
		if h.Name == "" || h.Name == s.Self.Name {
			continue
		}
		var there lookupResult
		if err := s.inquire(ctx, h.Link, q, &there); err != nil {
			continue
		}
		if there.Found {
			return there
		}
		authoritative = authoritative || there.Authoritative
	}
	view, err := s.findJob(ctx, q.ID)
	if err == nil && view.Job.Request.Team == q.Team {
		return lookupResult{Found: true, Phase: view.Job.Phase, Job: &view}
	}
	var unknown *jobs.UnknownError
	return lookupResult{Authoritative: authoritative && (err == nil || errors.As(err, &unknown))}
}

// inquire sends an inquiry to another entry process.
func (s *Service) inquire(ctx context.Context, address string, q inquiry, f *lookupResult) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := s.Clock.After(statusTimeout+cancelTimeout, cancel)
	defer timeout.Stop()
	return s.Net.Call(ctx, address, verbInquire, q, f)
}

// lookupLocal searches for a request in this process's records. If q.Cancel is
// set it first cancels the request.
func (s *Service) lookupLocal(ctx context.Context, q inquiry) lookupResult {
	n, done, ok := s.Keeper.Find(q.ID)
	if !ok || n.Team != q.Team {
		return lookupResult{Authoritative: s.Keeper.Authoritative(q.ID)}
	}
	if q.Cancel && done != nil {
		s.cancelLocal(ctx, q.ID, done)
		n, _, _ = s.Keeper.Find(q.ID)
	}
	f := lookupResult{Found: true, Phase: wire.Ended, Note: n}
	if !n.Ended() {
		f.Phase = wire.Queued
		if a := s.active.find(q.ID); a != nil {
			f.Phase = a.currentPhase()
		}
	}
	if !q.Body {
		f.Note.Body = nil
	}
	return f
}

// cancelLocal cancels a request that this process runs and waits up to
// cancelTimeout for it to end.
func (s *Service) cancelLocal(ctx context.Context, id string, done <-chan struct{}) {
	a := s.active.find(id)
	if a == nil {
		return
	}
	a.cancel()
	expired := make(chan struct{})
	timeout := s.Clock.After(cancelTimeout, func() { close(expired) })
	defer timeout.Stop()
	select {
	case <-done:
	case <-expired:
	case <-ctx.Done():
	}
}

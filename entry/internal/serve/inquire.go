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
	// verbInquire: inquiry in, finding out.
	verbInquire = "inquire"
	// statusTime bounds one question for a request's state.
	statusTime = 2 * time.Second
	// cancelTime is how long the end of a cancelled request is awaited.
	cancelTime = 2 * time.Second
)

// inquiry asks the host that keeps a request's record for its state.
type inquiry struct {
	ID     string `cbor:"id"`
	Team   string `cbor:"team"`
	Body   bool   `cbor:"body,omitempty"`   // the answer is wanted too
	Cancel bool   `cbor:"cancel,omitempty"` // the request is to be cancelled
}

// finding is what is known of a request.
type finding struct {
	Found bool        `cbor:"found"`
	Sure  bool        `cbor:"sure,omitempty"` // the host would know the request if it existed
	Phase wire.Phase  `cbor:"phase,omitempty"`
	Note  record.Note `cbor:"note"`
	Job   *jobs.View  `cbor:"job,omitempty"`
}

// handleInquire serves verbInquire.
func (s *Service) handleInquire(ctx context.Context, stream *link.Stream) error {
	var q inquiry
	if err := stream.Recv(&q); err != nil {
		return err
	}
	return stream.Send(s.lookHere(ctx, q))
}

// look finds a request: here, at the holders of its record, or as a job.
func (s *Service) look(ctx context.Context, q inquiry) finding {
	f := s.lookHere(ctx, q)
	if f.Found {
		return f
	}
	first, second := s.Ring.Holders(q.ID)
	sure := f.Sure && (first.Name == s.Self.Name || second.Name == s.Self.Name)
	for _, h := range []record.Host{first, second} {
		if h.Name == "" || h.Name == s.Self.Name {
			continue
		}
		var there finding
		if err := s.call(ctx, h.Link, q, &there); err != nil {
			continue
		}
		if there.Found {
			return there
		}
		sure = sure || there.Sure
	}
	view, err := s.findJob(ctx, q.ID)
	if err == nil && view.Job.Request.Team == q.Team {
		return finding{Found: true, Phase: view.Job.Phase, Job: &view}
	}
	var unknown *jobs.UnknownError
	return finding{Sure: sure && (err == nil || errors.As(err, &unknown))}
}

func (s *Service) call(ctx context.Context, address string, q inquiry, f *finding) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	alarm := s.Clock.After(statusTime+cancelTime, cancel)
	defer alarm.Stop()
	return s.Net.Call(ctx, address, verbInquire, q, f)
}

// lookHere finds a request in this process's memory.
func (s *Service) lookHere(ctx context.Context, q inquiry) finding {
	n, done, ok := s.Keeper.Find(q.ID)
	if !ok || n.Team != q.Team {
		return finding{Sure: s.Keeper.Authoritative(q.ID)}
	}
	if q.Cancel && done != nil {
		s.cancelHere(ctx, q.ID, done)
		n, _, _ = s.Keeper.Find(q.ID)
	}
	f := finding{Found: true, Phase: wire.Ended, Note: n}
	if !n.Ended() {
		f.Phase = wire.Queued
		if l := s.lives.find(q.ID); l != nil {
			f.Phase = l.get()
		}
	}
	if !q.Body {
		f.Note.Body = nil
	}
	return f
}

// cancelHere cancels a request that runs here and waits a while for its end.
func (s *Service) cancelHere(ctx context.Context, id string, done <-chan struct{}) {
	l := s.lives.find(id)
	if l == nil {
		return
	}
	l.cancel()
	late := make(chan struct{})
	alarm := s.Clock.After(cancelTime, func() { close(late) })
	defer alarm.Stop()
	select {
	case <-done:
	case <-late:
	case <-ctx.Done():
	}
}

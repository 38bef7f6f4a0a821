package front

import (
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// pending tells how many jobs of a queue haven't begun.
func (s *Service) pending(r *request) {
	r.exchange.Answer(fasthttp.StatusOK, jsonType, platform.PendingBody(s.board.Pending(r.queue.Name)))
}

// lookup returns what is known of a job of the request's team. It has answered
// if it returns false.
func (s *Service) lookup(r *request) (board.Entry, bool) {
	e, known := s.board.Job(r.id)
	if !known {
		// The job may have been accepted elsewhere a moment ago.
		key := board.AcceptKey(r.id)
		rows, _, err := s.store.Read(board.Table, board.PartOf(r.id), key, key+"\x00")
		if err != nil {
			s.logger.Info("state unknown", zap.String("id", r.id), zap.Error(err))
			s.unavailable(r.exchange, "the store is away")
			return e, false
		}
		if len(rows) > 0 && board.Decode(rows[0], &e.Accepted) == nil {
			known = true
		}
	}
	if !known || e.Queue != r.queue.Name {
		s.answer(r.exchange, fasthttp.StatusGone, "no such job")
		return e, false
	}
	return e, true
}

// state tells how far a job has come.
func (s *Service) state(r *request) {
	e, ok := s.lookup(r)
	if !ok {
		return
	}
	phase := e.Phase
	if e.Cancelled && !phase.Final() {
		phase = model.Cancelled
	}
	r.exchange.Answer(fasthttp.StatusOK, jsonType, platform.PhaseBody(phase))
}

// cancel stores a cancellation; the owner carries it out.
func (s *Service) cancel(r *request) {
	e, ok := s.lookup(r)
	if !ok {
		return
	}
	if e.Phase.Final() || e.Cancelled {
		s.accepted(r)
		return
	}
	put, err := board.Put(board.Table, board.PartOf(r.id), board.CancelKey(r.id), r.team)
	if err != nil {
		s.answer(r.exchange, fasthttp.StatusBadRequest, "not a job")
		return
	}
	if err := s.writer(r.id).create(r.limit, put); err != nil {
		s.failed(r, err)
		return
	}
	s.accepted(r)
}

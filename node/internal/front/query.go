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
	if !s.board.Ready() || s.health.Failing() {
		s.unavailable(r.exchange, "the number isn't known")
		return
	}
	r.exchange.Answer(fasthttp.StatusOK, jsonType, platform.PendingBody(s.board.Pending(r.queue.Name)))
}

// lookup returns what is known of a job of the request's team. It has answered
// if it returns false.
func (s *Service) lookup(r *request) (board.Entry, bool) {
	e, known := s.board.Job(r.id)
	if !known || !e.Phase.Final() {
		if st, ok := s.cell.State(r.id); ok {
			e.Queue, e.Phase, known = st.Queue, st.Phase, true
		}
	}
	if !known {
		// The job may have been accepted elsewhere a moment ago.
		var err error
		if e.Accepted, known, err = s.find(r.id); err != nil {
			s.logger.Info("state unknown", zap.String("id", r.id), zap.Error(err))
			s.unavailable(r.exchange, "the store is away")
			return e, false
		}
	}
	if !known || e.Queue != r.queue.Name {
		s.answer(r.exchange, fasthttp.StatusGone, "no such job")
		return e, false
	}
	return e, true
}

// find looks for an accepted job in the store.
func (s *Service) find(id string) (board.Accepted, bool, error) {
	var a board.Accepted
	key := board.AcceptKey(id)
	for try := range maxTries {
		rows, _, err := s.store.Read(board.Table, board.PartOf(id, try), key, key+"\x00")
		if err != nil {
			return a, false, err
		}
		if len(rows) > 0 {
			return a, true, board.Decode(rows[0], &a)
		}
	}
	return a, false, nil
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
	s.keep(r, board.CancelKey(r.id), r.team, func() { s.cell.Cancelled(r.id) })
}

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
	asked := known && e.Phase.Final()
	if !asked {
		if st, ok := s.cell.State(r.id); ok {
			e.Queue, e.Phase, known, asked = st.Queue, st.Phase, true, true
		}
	}
	if !asked {
		// The job may have been accepted or ended elsewhere a moment ago.
		var err error
		if e, known, err = s.find(r.id); err != nil {
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

// find looks for a job in the store, which knows the newest state of it when the
// owner can't be asked.
func (s *Service) find(id string) (board.Entry, bool, error) {
	var e board.Entry
	for try := range maxTries {
		part := board.PartOf(id, try)
		known, err := s.read(part, board.AcceptKey(id), &e.Accepted)
		if err != nil {
			return e, false, err
		}
		if !known {
			continue
		}
		var p board.Phase
		if _, err := s.read(board.Main, board.PhaseKey(id), &p); err != nil {
			return e, false, err
		}
		e.Phase = p.Phase
		e.Cancelled, err = s.read(part, board.CancelKey(id), new(string))
		return e, err == nil, err
	}
	return e, false, nil
}

// read reads one row of the board into v and reports whether it is there.
func (s *Service) read(part, key string, v any) (bool, error) {
	rows, _, err := s.store.Read(board.Table, part, key, key+"\x00")
	if err != nil || len(rows) == 0 {
		return false, err
	}
	return true, board.Decode(rows[0], v)
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
	s.keep(r, board.CancelKey(r.id), []any{r.team}, func() { s.cell.Cancelled(r.id) })
}

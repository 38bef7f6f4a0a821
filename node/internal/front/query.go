package front

import (
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// pending answers with the number of jobs of a queue that haven't started.
func (s *Service) pending(r *request) {
	if !s.board.Ready() || s.health.Failing() {
		s.unavailable(r.exchange, "the number isn't known")
		return
	}
	r.exchange.Answer(fasthttp.StatusOK, jsonType, platform.PendingBody(s.board.Pending(&r.queue)))
}

// lookup returns the state of the requested job, if it belongs to the request's queue.
// Otherwise it answers the request and returns false.
func (s *Service) lookup(r *request) (board.JobState, bool) {
	job, known, ok := s.find(r)
	if !ok {
		return job, false
	}
	if !known || !job.In(&r.queue) {
		s.answerUnknown(r, job, known)
		return job, false
	}
	return job, true
}

// answerUnknown answers that the request's queue has no such job.
func (s *Service) answerUnknown(r *request, job board.JobState, known bool) {
	s.logger.Info("no such job", zap.String("id", r.id), zap.String("queue", r.queue.Name), zap.Bool("known", known),
		zap.String("accepted", job.Queue), zap.Int64("version", r.version))
	s.reject(r.exchange, fasthttp.StatusGone, "no such job")
}

// find returns the state of the requested job, and whether it is accepted. If that can't be
// found out, it answers the request and returns false for ok.
func (s *Service) find(r *request) (job board.JobState, known, ok bool) {
	job, known = s.board.Job(r.id)
	current := known && job.Phase.Final()
	if !current {
		if st, ok := s.ownerClient.State(r.id); ok {
			job.Queue, job.Host, job.Prefix = st.Queue, st.Host, st.Prefix
			job.Phase, known, current = st.Phase, true, true
		}
	}
	if !current {
		// This host's board may lag behind a write of another host.
		var err error
		if job, known, err = s.findInStore(r.id); err != nil {
			s.logger.Info("state unknown", zap.String("id", r.id), zap.Error(err))
			s.unavailable(r.exchange, "the store is away")
			return job, false, false
		}
	}
	return job, known, true
}

// findInStore reads the state of a job from the store, which has the newest one if the
// owner can't be reached. It returns false if the job isn't accepted.
func (s *Service) findInStore(id string) (board.JobState, bool, error) {
	var job board.JobState
	for attempt := range board.MaxAttempts {
		part := board.PartOf(id, attempt)
		known, err := s.readRow(part, board.AcceptKey(id), &job.Accepted)
		if err != nil {
			return job, false, err
		}
		if !known {
			continue
		}
		var p board.Phase
		if _, err := s.readRow(board.Main, board.PhaseKey(id), &p); err != nil {
			return job, false, err
		}
		job.Phase = p.Phase
		job.Cancelled, err = s.readRow(part, board.CancelKey(id), new(string))
		return job, err == nil, err
	}
	return job, false, nil
}

// readRow decodes one row of the board into v, and returns false if there is no such row.
func (s *Service) readRow(part, key string, v any) (bool, error) {
	rows, _, err := s.store.Read(board.Table, part, key, key+"\x00")
	if err != nil || len(rows) == 0 {
		return false, err
	}
	return true, board.Decode(rows[0], v)
}

// state answers with the phase of a job. A job whose cancellation is stored counts as
// cancelled before the owner has carried it out.
func (s *Service) state(r *request) {
	job, ok := s.lookup(r)
	if !ok {
		return
	}
	phase := job.Phase
	if job.Cancelled && !phase.Final() {
		phase = model.Cancelled
	}
	r.exchange.Answer(fasthttp.StatusOK, jsonType, platform.PhaseBody(phase))
}

// cancel stores the cancellation of a job, which the owner then carries out. It also stores that
// of an unknown one: a submission that got no answer may still be written.
func (s *Service) cancel(r *request) {
	job, known, ok := s.find(r)
	if !ok {
		return
	}
	answer := s.answerAccepted
	if !known {
		answer = func(r *request) { s.answerUnknown(r, job, known) }
	}
	switch {
	case known && !job.In(&r.queue):
		s.answerUnknown(r, job, known)
	case job.Phase.Final() || job.Cancelled:
		answer(r)
	default:
		s.storeAndAnswer(r, board.CancelKey(r.id), []any{r.team}, answer, func() { s.ownerClient.Cancelled(r.id) })
	}
}

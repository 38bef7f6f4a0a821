package front

import (
	"errors"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// submit stores a job.
func (s *Service) submit(r *request) {
	if _, known := s.board.Job(r.id); known {
		s.accepted(r)
		return
	}
	job, err := platform.ParseJob(r.exchange.Request().Body())
	if err != nil {
		s.logger.Info("job not understood", zap.String("id", r.id), zap.Error(err))
		s.answer(r.exchange, fasthttp.StatusBadRequest, "not a job")
		return
	}
	job.ID, job.Queue, job.Team, job.Sent = r.id, r.queue.Name, r.team, s.clock.Now()
	part := board.PartOf(r.id)
	row, err := board.Put(board.Table, part, board.AcceptKey(r.id), board.Accepted{Queue: job.Queue, Team: job.Team})
	if err != nil {
		s.answer(r.exchange, fasthttp.StatusBadRequest, "not a job")
		return
	}
	definition, err := board.Put(board.Jobs, part, r.id, job)
	if err != nil {
		s.answer(r.exchange, fasthttp.StatusBadRequest, "not a job")
		return
	}
	if err := s.writer(r.id).create(r.limit, row, definition); err != nil {
		s.failed(r, err)
		return
	}
	s.logger.Debug("job accepted", zap.String("id", r.id), zap.String("queue", job.Queue), zap.String("team", job.Team))
	s.accepted(r)
}

// accepted says that a job or a cancellation is stored.
func (s *Service) accepted(r *request) {
	s.counts.accepted.Inc(1)
	r.exchange.Answer(fasthttp.StatusOK, jsonType, []byte("{}"))
}

// failed answers a client whose write failed.
func (s *Service) failed(r *request, err error) {
	var unknown *UnknownError
	if errors.As(err, &unknown) {
		s.logger.Info("outcome unknown", zap.String("id", r.id), zap.Error(err))
		s.answer(r.exchange, fasthttp.StatusGatewayTimeout, "not known whether it was stored")
		return
	}
	s.logger.Info("refused", zap.String("id", r.id), zap.Error(err))
	s.unavailable(r.exchange, "the store is away")
}

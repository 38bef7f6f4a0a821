package front

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/owner"
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
	s.keep(r, board.AcceptKey(r.id), board.Accepted{Queue: job.Queue, Team: job.Team, Job: job}, func() { s.cell.Submitted(job) })
}

const (
	// maxTries is how many partitions are tried until a client is refused.
	maxTries = 2
	// tryTime is after how long no other one is tried: clients wait three seconds.
	tryTime = 1400 * time.Millisecond
)

// keep has a row of the board stored, unless it is there already, and answers
// the client. tell is called if this host stored it.
func (s *Service) keep(r *request, key string, value any, tell func()) {
	if s.health.Failing() {
		s.logger.Info("refused", zap.String("id", r.id), zap.String("reason", "the store doesn't answer"))
		s.unavailable(r.exchange, "the store is away")
		return
	}
	var last, lost error
	began := s.clock.Now()
	for try := range maxTries {
		if try > 0 && s.clock.Now().Sub(began) > tryTime {
			break
		}
		put, err := board.Put(board.Table, board.PartOf(r.id, try), key, value)
		if err != nil {
			s.answer(r.exchange, fasthttp.StatusBadRequest, "not a job")
			return
		}
		if s.store.Slow() {
			switch s.cell.Keep(r.id, put) {
			case owner.IsKept:
				s.accepted(r)
				return
			case owner.MayBeKept:
				lost = &UnknownError{Err: &platform.LostError{Call: "write through the owner"}}
				continue
			case owner.NotKept:
				last = &platform.RefusedError{Call: "write through the owner"}
				continue
			case owner.NotAsked:
			}
		}
		last = s.Keep(r.id, put)
		if last == nil {
			s.accepted(r)
			tell()
			return
		}
		var unknown *UnknownError
		if errors.As(last, &unknown) {
			lost = last
		}
	}
	if lost != nil { // One write may still be done, whatever became of the others.
		last = lost
	}
	s.failed(r, last)
}

// showPeriod is how often it is looked whether the board shows a row whose write
// isn't answered yet.
const showPeriod = 60 * time.Millisecond

// Keep has a row of the board created by this host unless it is there, which is
// success too. An answer that is lost doesn't matter once the board shows the row.
// Errors are a *platform.RefusedError or *platform.DialError if it surely never will
// be created, and an *UnknownError. It may be called concurrently.
func (s *Service) Keep(id string, put platform.Put) error {
	w := s.writers[put.Part]
	if w == nil {
		return &platform.RefusedError{Call: "partition " + put.Part}
	}
	it, err := w.enqueue(put)
	if err != nil {
		return err
	}
	look := make(chan struct{}, 1)
	tick := s.clock.Every(showPeriod, func() {
		select {
		case look <- struct{}{}:
		default:
		}
	})
	defer tick.Stop()
	for {
		select {
		case err := <-it.done:
			return err
		case <-look:
		}
		e, known := s.board.Job(id)
		if known && put.Key == board.AcceptKey(id) || e.Cancelled && put.Key == board.CancelKey(id) {
			return nil
		}
	}
}

// accepted says that a job or a cancellation is stored.
func (s *Service) accepted(r *request) {
	s.counts.accepted.Inc(1)
	s.logger.Info("accepted", zap.String("id", r.id), zap.ByteString("method", r.exchange.Request().Header.Method()),
		zap.String("queue", r.queue.Name), zap.String("team", r.team), zap.Int64("version", r.version))
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

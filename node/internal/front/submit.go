package front

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
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
	s.keep(r, board.AcceptKey(r.id), s.rows(job), func() { s.cell.Submitted(job) })
}

// rows returns the values of a job's rows: of the board and, unless the cell has an
// owner of an earlier format, of the submissions.
func (s *Service) rows(job *model.Job) []any {
	a := board.Accepted{Queue: job.Queue, Team: job.Team, Sent: job.Sent}
	if o, _ := s.board.Owner(); o.Format < board.SplitFormat {
		a.Job = job
		return []any{a}
	}
	return []any{a, job}
}

const (
	// maxTries is how many partitions are tried until a client is refused.
	maxTries = 2
	// tryTime is after how long no other one is tried: clients wait three seconds.
	tryTime = 1400 * time.Millisecond
)

// puts returns the writes of a job's rows in a partition.
func puts(id, part, key string, values []any) ([]platform.Put, error) {
	out := make([]platform.Put, 0, len(values))
	for i, v := range values {
		table := board.Table
		if i > 0 {
			table, key = board.Submitted, id
		}
		put, err := board.Put(table, part, key, v)
		if err != nil {
			return nil, err
		}
		out = append(out, put)
	}
	return out, nil
}

// keep has a row of the board stored, and the submission with it if there is a second
// value, unless the row is there already, and answers the client. tell is called if
// this host stored it.
func (s *Service) keep(r *request, key string, values []any, tell func()) {
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
		rows, err := puts(r.id, board.PartOf(r.id, try), key, values)
		if err != nil {
			s.answer(r.exchange, fasthttp.StatusBadRequest, "not a job")
			return
		}
		if s.store.Slow() {
			switch s.cell.Keep(r.id, rows) {
			case owner.RowsExist:
				s.accepted(r)
				return
			case owner.OutcomeUnknown:
				lost = &UnknownError{Err: &platform.LostError{Call: "write through the owner"}}
				continue
			case owner.NotCreated:
				last = &platform.RefusedError{Call: "write through the owner"}
				continue
			case owner.NotAsked:
			}
		}
		last = s.Keep(r.id, rows)
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

// Keep has rows created by this host unless the first, which is one of the board, is
// there, which is success too. An answer that is lost doesn't matter once the board shows
// the row.
// Errors are a *platform.RefusedError or *platform.DialError if it surely never will
// be created, and an *UnknownError. It may be called concurrently.
func (s *Service) Keep(id string, puts []platform.Put) error {
	first := &puts[0]
	w := s.writers[first.Part]
	if w == nil {
		return &platform.RefusedError{Call: "partition " + first.Part}
	}
	it, err := w.enqueue(puts)
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
		if known && first.Key == board.AcceptKey(id) || e.Cancelled && first.Key == board.CancelKey(id) {
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

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

// submit handles a submission: it stores the job, which is then accepted.
func (s *Service) submit(r *request) {
	switch e, known := s.board.Job(r.id); {
	case known:
		s.answerAccepted(r)
		return
	case e.Cancelled:
		s.reject(r.exchange, fasthttp.StatusGone, "cancelled before it was accepted")
		return
	}
	job, err := platform.ParseJob(r.exchange.Request().Body())
	if err != nil {
		s.logger.Info("job not understood", zap.String("id", r.id), zap.Error(err))
		s.reject(r.exchange, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if err := job.CheckRecord(s.rowSize()); err != nil {
		s.logger.Info("job is too large", zap.String("id", r.id), zap.Error(err))
		s.reject(r.exchange, fasthttp.StatusBadRequest, err.Error())
		return
	}
	job.ID, job.Queue, job.Team, job.Sent = r.id, r.queue.Name, r.team, s.clock.Now()
	job.Terms = &model.Terms{Queue: r.queue, Limit: r.limit}
	if s.turnAway(r, job) {
		return
	}
	s.storeAndAnswer(r, board.AcceptKey(r.id), s.rowValues(job), s.answerAccepted, func() { s.ownerClient.Submitted(job) })
}

// rowValues returns the values of the rows to store for a job: the acceptance row and the
// submission. If the owner's format is earlier than board.SplitFormat, or there is no
// owner, the acceptance row holds the submission.
func (s *Service) rowValues(job *model.Job) []any {
	a := board.AcceptedJob(job)
	if o, _ := s.board.Owner(); o.Format < board.SplitFormat {
		a.Job = job
		return []any{a}
	}
	return []any{a, job}
}

const (
	// retryWindow is the time after which no further attempt begins, since clients wait
	// for three seconds.
	retryWindow = 1400 * time.Millisecond
)

// encodeRows returns the writes of a job's rows in a partition.
func encodeRows(id, part, key string, values []any) ([]platform.Put, error) {
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

// checkSize returns a *RowSizeError if a value is larger than a row may be.
func checkSize(rows []platform.Put, most int) error {
	for i := range rows {
		if n := len(rows[i].Value); n > most {
			return &RowSizeError{Size: n, Most: most}
		}
	}
	return nil
}

// storeAndAnswer stores a row of the board, and the submission if there is a second value,
// and answers the client, by answer if it has succeeded. It succeeds without a write if the
// row of the board exists already. If the store is slow, the owner's host writes the rows and notes them, provided
// that it can be reached. If this host wrote them, storeAndAnswer calls notify, which
// notifies the owner, after the answer.
func (s *Service) storeAndAnswer(r *request, key string, values []any, answer func(*request), notify func()) {
	if s.health.Failing() {
		s.logger.Info("refused", zap.String("id", r.id), zap.String("reason", "the store doesn't answer"))
		s.unavailable(r.exchange, "the store is away")
		return
	}
	var failure, inDoubt error
	began := s.clock.Now()
	for attempt := range board.MaxAttempts {
		if attempt > 0 && s.clock.Now().Sub(began) > retryWindow {
			break
		}
		rows, err := encodeRows(r.id, board.PartOf(r.id, attempt), key, values)
		if err == nil {
			err = checkSize(rows, s.rowSize())
		}
		if err != nil {
			s.logger.Info("job is too large", zap.String("id", r.id), zap.Error(err))
			s.reject(r.exchange, fasthttp.StatusBadRequest, err.Error())
			return
		}
		if s.store.Slow() {
			switch s.ownerClient.CreateRows(r.id, rows) {
			case owner.RowsExist:
				answer(r)
				return
			case owner.OutcomeUnknown:
				inDoubt = &UnknownOutcomeError{Err: &platform.LostError{Call: "write through the owner"}}
				continue
			case owner.NotCreated:
				failure = &platform.RefusedError{Call: "write through the owner"}
				continue
			case owner.NotAsked:
			}
		}
		failure = s.CreateRows(r.id, rows)
		if failure == nil {
			answer(r)
			notify()
			return
		}
		var unknown *UnknownOutcomeError
		if errors.As(failure, &unknown) {
			inDoubt = failure
		}
	}
	if inDoubt != nil { // One of the writes may still be committed.
		failure = inDoubt
	}
	s.answerFailed(r, failure)
}

// boardCheckPeriod is how often CreateRows checks whether a row whose write hasn't been
// answered yet has appeared on the board.
const boardCheckPeriod = 60 * time.Millisecond

// CreateRows creates rows in the store, the first of which is a row of the board. If that
// exists already, CreateRows writes nothing and succeeds. It also succeeds, even if the
// answer to the write is lost, as soon as the row appears on the board.
//
// The error is a *platform.RefusedError or *platform.DialError if the rows will certainly
// not be created, or an *UnknownOutcomeError. CreateRows may be called concurrently.
func (s *Service) CreateRows(id string, puts []platform.Put) error {
	first := &puts[0]
	w := s.writers[first.Part]
	if w == nil {
		return &platform.RefusedError{Call: "write to partition " + first.Part}
	}
	it, err := w.enqueue(puts)
	if err != nil {
		return err
	}
	check := make(chan struct{}, 1)
	tick := s.clock.Every(boardCheckPeriod, func() {
		select {
		case check <- struct{}{}:
		default:
		}
	})
	defer tick.Stop()
	for {
		select {
		case err := <-it.done:
			return err
		case <-check:
		}
		job, known := s.board.Job(id)
		if known && first.Key == board.AcceptKey(id) || job.Cancelled && first.Key == board.CancelKey(id) {
			return nil
		}
	}
}

// answerAccepted answers that a submission or a cancellation is stored.
func (s *Service) answerAccepted(r *request) {
	s.counts.accepted.Inc(1)
	s.logger.Info("accepted", zap.String("id", r.id), zap.ByteString("method", r.exchange.Request().Header.Method()),
		zap.String("queue", r.queue.Name), zap.String("team", r.team), zap.Int64("version", r.version))
	r.exchange.Answer(fasthttp.StatusOK, jsonType, []byte("{}"))
}

// answerFailed answers a client whose write ended with err: with 504 if the outcome is
// unknown, otherwise with 503.
func (s *Service) answerFailed(r *request, err error) {
	var unknown *UnknownOutcomeError
	if errors.As(err, &unknown) {
		s.logger.Info("outcome unknown", zap.String("id", r.id), zap.Error(err))
		s.reject(r.exchange, fasthttp.StatusGatewayTimeout, "not known whether it was stored")
		return
	}
	s.logger.Info("refused", zap.String("id", r.id), zap.Error(err))
	s.unavailable(r.exchange, "the store is away")
}

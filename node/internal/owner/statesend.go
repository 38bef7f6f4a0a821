package owner

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/node/internal/board"
)

// An owner that stops or gives way sends its state to a successor before it resigns. From the
// snapshot on it is frozen: it starts nothing, takes no report and no advice into account, and
// writes nothing but its own row, so that nothing changes that the successor would have to know.
// Executors' leases are extended meanwhile, and the ends that they report stay unacknowledged. If the
// successor doesn't hold the state in time, the owner goes on.

const (
	// statePutTimeout bounds the transfer of a state to one successor.
	statePutTimeout = 500 * time.Millisecond
	// stopHandoverTimeout bounds the hand-over of a process that stops. It resigns without one after
	// that, which takes resignTimeout at most, and the process has three seconds in all.
	stopHandoverTimeout = 1200 * time.Millisecond
	// handoverPause is how long an owner that gives way waits after a hand-over has failed.
	handoverPause = 5 * time.Second
	// maxHandoverFailures is the number of failed hand-overs after which an owner gives way without
	// its state: a host may be too slow to send it in time.
	maxHandoverFailures = 3
)

// handoverRequest asks the recorder to hand over the term's state and to resign.
type handoverRequest struct {
	cause      error
	candidates []board.Host // hosts to send the state to, in order
	began      time.Time
	put        chan putOutcome // of the transfer that is under way, nil for none
}

// putOutcome is the outcome of a transfer.
type putOutcome struct {
	to    board.Host
	id    string // of the state
	bytes int
	jobs  int
	age   time.Duration // of the state when it was known to be held
	err   error
}

// StateRefusedError reports a successor that refuses a state.
type StateRefusedError struct{ Reason string }

// Error implements error.
func (e *StateRefusedError) Error() string { return "state refused: " + e.Reason }

// requestHandover asks for a hand-over for the given cause to one of the candidates. Without any the term
// ends at once. A request replaces an earlier one of an owner that gives way.
func (t *term) requestHandover(cause error, candidates []board.Host) {
	var stop *StopError
	stops := errors.As(cause, &stop)
	t.mu.Lock()
	possible := len(candidates) > 0 && t.loaded && t.owner.node != nil && (stops || t.handoverFailures < maxHandoverFailures)
	if possible && t.handover == nil {
		t.handover = &handoverRequest{cause: cause, candidates: candidates, began: t.owner.clock.Now()}
	} else if possible {
		t.handover.cause = cause // The transfer that is under way serves both.
		t.handover.candidates = append(t.handover.candidates, candidates...)
	}
	t.mu.Unlock()
	if !possible {
		t.cancel(cause)
		return
	}
	signal(t.wakeRecorder)
}

// stopTerm hands the cell over since the process stops.
func (t *term) stopTerm() {
	timeout, done := context.WithTimeout(t.ctx, stopHandoverTimeout)
	context.AfterFunc(timeout, func() {
		t.cancel(&StopError{})
		done()
	})
	candidates := t.handoverCandidates()
	if len(candidates) == 0 { // The term has just begun.
		t.setSuccessors(t.chooseSuccessors())
		candidates = t.handoverCandidates()
	}
	t.requestHandover(&StopError{}, candidates)
}

// handoverCandidates returns the successors, first those that could take over at once, and among these those
// that have begun after this host: they won't be stopped soon if all hosts are stopped in turn. In an outage of the
// store none could take over without the state.
func (t *term) handoverCandidates() []board.Host {
	self, _ := t.owner.board.Host(t.owner.host)
	t.mu.Lock()
	defer t.mu.Unlock()
	chosen := slices.Clone(t.chosen)
	slices.SortStableFunc(chosen, func(a, b successor) int {
		return cmp.Or(compareBool(!a.prepared, !b.prepared), compareBool(!restartedAfter(a.host, self), !restartedAfter(b.host, self)))
	})
	out := make([]board.Host, 0, len(chosen))
	for _, c := range chosen {
		out = append(out, c.host)
	}
	return out
}

// handOver takes the next step of a requested hand-over. It returns true if the term has ended by it.
func (r *recorder) handOver(ctx context.Context) bool {
	t := r.term
	t.mu.Lock()
	h := t.handover
	t.mu.Unlock()
	if h == nil || r.inDoubt {
		return false
	}
	if h.put != nil {
		select {
		case out := <-h.put:
			return r.putDone(h, out)
		default:
			return false
		}
	}
	t.mu.Lock()
	t.freeze()
	to := h.candidates[0]
	t.mu.Unlock()
	t.awaitOrders(ctx)
	takenAt := t.owner.clock.Boot()
	data, err := r.snapshot()
	id := strconv.FormatInt(r.attempt, 10) + "/" + strconv.FormatInt(int64(t.owner.clock.Boot()), 10)
	out := putOutcome{to: to, id: id, bytes: len(data), err: err}
	h.put = make(chan putOutcome, 1)
	if err == nil && len(data) > maxStateSize {
		out.err = &link.SizeError{Size: len(data), Limit: maxStateSize}
	}
	if out.err != nil {
		return r.putDone(h, out)
	}
	p := &statePut{Version: stateVersion, Epoch: t.epoch, Process: t.owner.process, Row: r.version, ID: id, Data: data}
	put := h.put
	t.group.Go(func() error {
		out.jobs, out.err = t.putState(to, p)
		out.age = t.owner.clock.Boot() - takenAt
		put <- out
		signal(t.wakeRecorder)
		return nil
	})
	return false
}

// putDone handles the outcome of a transfer.
func (r *recorder) putDone(h *handoverRequest, out putOutcome) bool {
	t := r.term
	t.mu.Lock()
	cause := h.cause
	t.mu.Unlock()
	var stop *StopError
	stops := errors.As(cause, &stop)
	if out.err == nil {
		if r.resignTo(h, cause, out) {
			return true
		}
		if stops {
			t.cancel(cause) // It has tried for long enough.
			return true
		}
		r.abandonHandover(r.inDoubt)
		return false
	}
	t.owner.logger.Info("state not handed over", zap.String("to", out.to.Name), zap.Int64("epoch", t.epoch), zap.Int("bytes", out.bytes), zap.Error(out.err))
	t.mu.Lock()
	h.put, h.candidates = nil, slices.DeleteFunc(h.candidates, func(c board.Host) bool { return c.Name == out.to.Name })
	more := len(h.candidates) > 0
	t.mu.Unlock()
	var remote *link.RemoteError
	var size *link.SizeError
	switch {
	case more:
		t.mu.Lock()
		t.unfreeze()
		t.mu.Unlock()
		signal(t.wakeRecorder)
		return false
	case stops || errors.As(out.err, &remote) || errors.As(out.err, &size): // An earlier program doesn't know the verb.
		t.cancel(cause)
		return true
	}
	r.abandonHandover(false)
	return false
}

// abandonHandover lets an owner that wanted to give way go on. While its resignation may have been
// written, it stays frozen until a later write succeeds, since a successor may have taken over.
func (r *recorder) abandonHandover(inDoubt bool) {
	t := r.term
	t.mu.Lock()
	defer t.mu.Unlock()
	t.handover = nil
	t.handoverFailures++
	t.noHandoverBefore = t.owner.clock.Now().Add(handoverPause)
	if inDoubt {
		t.resignInDoubt = true
		return
	}
	t.unfreeze()
}

// resignTo resigns in favour of the host that holds the state. It returns false if the resignation isn't
// known to be written; r.inDoubt tells whether it may be.
func (r *recorder) resignTo(h *handoverRequest, cause error, out putOutcome) bool {
	t := r.term
	t.mu.Lock()
	t.resigning = true
	t.mu.Unlock()
	if !r.writeResignation(func() batch { return batch{bare: true} }) {
		return false
	}
	r.resigned = true
	t.cancel(cause) // No lease is extended any more.
	r.row.Successors = append([]string{out.to.Name}, slices.DeleteFunc(slices.Clone(r.row.Successors), func(n string) bool { return n == out.to.Name })...)
	taken := t.owner.offer(r.row, r.version, out)
	took := t.owner.clock.Now().Sub(h.began)
	if taken == out.to.Name {
		t.owner.metrics.handoverSent.Inc(1)
		t.owner.metrics.handoverTime.Note(took)
	}
	t.owner.logger.Info("state handed over", zap.String("to", out.to.Name), zap.Int64("epoch", t.epoch), zap.Bool("taken", taken == out.to.Name), zap.Int("bytes", out.bytes), zap.Int("jobs", out.jobs),
		zap.Int("runs", t.countRuns()), zap.Duration("took", took))
	return true
}

func (t *term) countRuns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for id := range t.sessions {
		n += t.plan.RunsOn(id)
	}
	return n
}

// putState sends a state to a host and returns its number of jobs. The host holds the state if there is
// no error.
func (t *term) putState(to board.Host, p *statePut) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statePutTimeout)
	defer cancel()
	s, err := t.owner.node.Open(ctx, to.Link, stateVerbPut)
	if err != nil {
		return 0, err
	}
	defer s.Cancel()
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	var reply stateReply
	// A host that refuses without reading makes Send fail, but its error can still be received.
	sendErr := s.Send(p)
	if err := s.Recv(&reply); err != nil {
		var remote *link.RemoteError
		if sendErr != nil && !errors.As(err, &remote) {
			return 0, sendErr
		}
		return 0, err
	}
	t.mu.Lock()
	jobs := t.plan.Jobs()
	var rest stateJobs
	for _, id := range reply.Lacking {
		if j, _, ok := t.plan.Phase(id); ok {
			rest.Jobs = append(rest.Jobs, j)
		}
	}
	t.mu.Unlock()
	if reply.Refused == "" && len(reply.Lacking) > 0 {
		if err := s.Send(&rest); err != nil {
			return jobs, err
		}
		reply = stateReply{}
		if err := s.Recv(&reply); err != nil {
			return jobs, err
		}
	}
	if reply.Refused != "" {
		return jobs, &StateRefusedError{Reason: reply.Refused}
	}
	return jobs, ctx.Err()
}

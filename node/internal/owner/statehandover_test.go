package owner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// A state is used only under the epoch after its sender's, for the offer that names it, and not much
// later: otherwise the sender or another owner may have gone on since, and its tasks would run twice.
func TestStateIsUsedOnlyForItsOffer(t *testing.T) {
	offer := func(epoch int64, id string) *handover {
		return &handover{Row: board.Owner{Epoch: epoch, Resigned: true}, State: id}
	}
	tests := map[string]struct {
		offer *handover
		after time.Duration
		used  bool
	}{
		"the offer that names it":    {offer: offer(4, "a"), after: stateValidity, used: true},
		"an offer of another state":  {offer: offer(4, "b")},
		"an offer without a state":   {offer: offer(4, "")},
		"an offer of a later epoch":  {offer: offer(5, "a")},
		"the offer that comes late":  {offer: offer(4, "a"), after: stateValidity + time.Millisecond},
		"an offer of another sender": {offer: offer(3, "a")},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
			o := New(Deps{Host: "h", Process: "p", Clock: clock, Board: board.New(zap.NewNop()), Logger: zap.NewNop()})
			is.True(o.hold(&heldState{epoch: 4, id: "a", atBoot: clock.Boot()}))
			clock.Advance(tt.after)
			is.Equal(o.takeState(tt.offer) != nil, tt.used)
			is.Equal(o.metrics.handoverDropped.Count() == 0, tt.used)
			is.True(o.takeState(tt.offer) == nil) // It is used once.
		})
	}
}

// A host that would stop soon, lacks what it needs, or knows a later owner refuses a state.
func TestStateIsRefused(t *testing.T) {
	tests := map[string]struct {
		change func(o *Owner, p *statePut)
		why    string
	}{
		"ready":             {change: func(*Owner, *statePut) {}},
		"stopping":          {change: func(o *Owner, _ *statePut) { o.stopping.Store(true) }, why: "stopping"},
		"another format":    {change: func(_ *Owner, p *statePut) { p.Version++ }, why: "format"},
		"too large":         {change: func(_ *Owner, p *statePut) { p.Data = make([]byte, maxStateSize+1) }, why: "size"},
		"no submissions":    {change: func(o *Owner, _ *statePut) { o.preparedAt.Store(0) }, why: "submissions"},
		"in an outage":      {change: func(o *Owner, _ *statePut) { o.notePrepared(false) }},
		"in a long outage":  {change: func(o *Owner, _ *statePut) { o.preparedAt.Add(-int64(maxCopyAge)) }, why: "submissions"},
		"owns the cell":     {change: func(o *Owner, _ *statePut) { o.setTerm(&term{}) }, why: "another owner"},
		"of an early epoch": {change: func(_ *Owner, p *statePut) { p.Epoch = 1 }, why: "another owner"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := board.New(zap.NewNop())
			putRow(t, b, board.OwnerKey, board.Owner{Host: "other", Epoch: 2})
			o := New(Deps{Host: "h", Process: "p", Clock: timer.New(), Board: b, Logger: zap.NewNop()})
			o.notePrepared(true)
			p := &statePut{Version: stateVersion, Epoch: 2}
			tt.change(o, p)
			is.Equal(o.refusesState(p), tt.why)
		})
	}
}

// While all hosts are stopped in turn, the cell goes to a host that has been restarted already, although
// others of other zones come before it in the list of successors.
func TestStopPrefersRestartedHost(t *testing.T) {
	is := is.New(t)
	tm, b := newTerm()
	putRow(t, b, board.HostKey("h"), board.Host{Name: "h", Zone: "a", Power: 800, Started: 1000})
	for _, h := range []board.Host{
		{Name: "b1", Zone: "b", Power: 800, Started: 900}, {Name: "b2", Zone: "b", Power: 800, Started: 900}, {Name: "b3", Zone: "b", Power: 800},
		{Name: "a1", Zone: "a", Power: 800, Started: 900}, {Name: "a2", Zone: "a", Power: 800, Started: 2000}, {Name: "weak", Zone: "b", Power: 200, Started: 3000},
	} {
		putRow(t, b, board.HostKey(h.Name), h)
	}
	hosts := tm.owner.candidates(1)
	is.Equal(len(hosts), 6)
	is.Equal(hosts[0].Zone, "b")
	is.Equal(hosts[maxSuccessors-1].Name, "a2")
	is.Equal(hosts[5].Name, "weak")
	for _, h := range hosts[:maxSuccessors] {
		tm.chosen = append(tm.chosen, successor{host: h, prepared: h.Name != hosts[0].Name})
	}
	next := tm.handoverCandidates()
	is.Equal(len(next), maxSuccessors)
	is.Equal(next[0].Name, "a2")
	is.Equal(next[maxSuccessors-1].Name, hosts[0].Name) // It isn't prepared.
}

// failingStore fails writes while failing is set.
type failingStore struct {
	Store
	failing bool
	writes  int64
}

func (s *failingStore) Write(*platform.Write) (int64, error) {
	if s.failing {
		return 0, &platform.LostError{Call: "write"}
	}
	s.writes++
	return s.writes, nil
}

// An owner that gives way can't write its resignation. The write may still be applied, and a successor with
// the state starts at once. So nothing starts until a later write of this owner succeeds, and then everything goes on.
func TestResignationWithoutAnswerHoldsStartsBack(t *testing.T) {
	is := is.New(t)
	clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
	tm, _ := newTerm()
	store := &failingStore{failing: true}
	ctx, cancel := context.WithCancelCause(context.Background())
	tm.owner.store, tm.owner.clock, tm.owner.boardFollower, tm.ctx, tm.cancel = store, clock, workingFollower{}, ctx, cancel
	tm.confirm(clock.Boot(), minAuthority)
	r := &recorder{term: tm, row: board.Owner{Epoch: 1, Process: "p"}, version: 1}
	cause := &HandoverError{Host: "next"}
	tm.handover = &handoverRequest{cause: cause, put: make(chan putOutcome, 1), began: clock.Now()}
	tm.freeze()
	is.True(!tm.mayStart())
	tm.handover.put <- putOutcome{to: board.Host{Name: "next"}, id: "a"}
	is.True(!r.handOver(ctx)) // The term goes on.
	is.True(r.inDoubt)
	is.True(tm.handover == nil)
	is.True(!tm.mayStart())
	is.True(r.write(r.collect()) != nil)
	is.True(!tm.mayStart())
	store.failing = false
	is.NoErr(r.write(r.collect()))
	r.resignationUndone()
	is.True(!r.row.Resigned)
	is.True(tm.mayStart())
	is.NoErr(ctx.Err())
	tm.loaded = true
	is.True(tm.betterOwner([]successor{{host: board.Host{Name: "next", Power: 9}, prepared: true}}) == nil) // It isn't tried again at once.
}

// An owner that gives way goes on if its successor doesn't hold the state, with nothing held back, and tries again after
// a pause. It gives way without its state to an earlier program, and after some failures; a process that stops does so at once.
func TestOwnerGoesOnAfterFailedTransfer(t *testing.T) {
	stop, better := error(&StopError{}), error(&HandoverError{Host: "next"})
	timeout := error(&link.StreamError{Op: "receive", Err: context.DeadlineExceeded})
	tests := map[string]struct {
		cause    error
		err      error
		others   int // candidates beside the one that failed
		failures int // before
		ends     bool
		again    bool // the next candidate is tried at once
	}{
		"no answer":                 {cause: better, err: timeout},
		"refused":                   {cause: better, err: &StateRefusedError{Reason: "submissions"}},
		"earlier program":           {cause: better, err: &link.RemoteError{Code: "verb"}, ends: true},
		"too large":                 {cause: better, err: &link.SizeError{}, ends: true},
		"stops, no answer":          {cause: stop, err: timeout, ends: true},
		"stops, another candidate":  {cause: stop, err: timeout, others: 1, again: true},
		"no answer after some more": {cause: better, err: timeout, failures: maxHandoverFailures - 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm, _ := newTerm()
			ctx, cancel := context.WithCancelCause(context.Background())
			tm.cancel, tm.loaded, tm.handoverFailures, tm.owner.boardFollower, tm.owner.node = cancel, true, tt.failures, workingFollower{}, &link.Node{}
			tm.confirm(tm.owner.clock.Boot(), minAuthority)
			failed := board.Host{Name: "next"}
			tm.handover = &handoverRequest{cause: tt.cause, candidates: []board.Host{failed}, put: make(chan putOutcome, 1)}
			for range tt.others {
				tm.handover.candidates = append(tm.handover.candidates, board.Host{Name: "other"})
			}
			tm.freeze()
			tm.handover.put <- putOutcome{to: failed, err: tt.err}
			r := &recorder{term: tm}
			is.Equal(r.handOver(ctx), tt.ends)
			is.Equal(ctx.Err() != nil, tt.ends)
			if tt.ends {
				is.Equal(context.Cause(ctx), tt.cause)
				return
			}
			is.True(tm.mayStart())
			is.Equal(tm.handover != nil, tt.again)
			if tt.again {
				is.Equal(tm.handover.candidates[0].Name, "other")
				return
			}
			is.True(tm.noHandoverBefore.After(tm.owner.clock.Now()))
			tm.requestHandover(tt.cause, []board.Host{failed})
			is.Equal(ctx.Err() != nil, tt.failures+1 == maxHandoverFailures) // Without the state after that.
			tm.requestHandover(stop, []board.Host{failed})
			is.True(tm.handover != nil) // A process that stops tries in any case.
		})
	}
}

// A successor takes no lease of its predecessor for ended while the executor may follow it, however the
// clocks run and however long the transfer takes.
func TestSuccessorAwaitsLeasesOfSender(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		rate := float64(rapid.IntRange(980, 1020).Draw(t, "rate")) / 1000 // of the executor's clock
		duration := func(name string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(most)).Draw(t, name))
		}
		// Time passes alike on both hosts; clocks show other times.
		transfer, claimed := duration("transfer", statePutTimeout), 2*time.Second-duration("claimed", 2*time.Second)
		extended := max(0, claimed-duration("extended", 2*time.Second)) // after the receipt
		sender, senderClock, sessions := newTermWithExecutors(1)
		sender.confirm(senderClock.Boot(), minAuthority)
		sender.settleTime = 0
		executorClock := func(after time.Duration) time.Duration { return time.Hour + time.Duration(rate*float64(after)) }
		silent := rapid.Bool().Draw(t, "silent")
		sess := sessions[0]
		sess.silent = silent
		sess.lease.assumeEarlierLease(executorClock(0), sender.bounds.Lease)
		sess.lease.observeClock(executorClock(0), senderClock.Now())
		data := sess.state(senderClock.Now())
		// The sender goes on extending the lease of an executor that answers.
		leaseEnd := sess.lease.latestEnd
		if !silent {
			sess.lease.observeClock(executorClock(transfer+extended), senderClock.Now().Add(transfer+extended))
			leaseEnd = max(leaseEnd, sess.lease.extend(senderClock.Now().Add(transfer+extended), leaseDuration))
		}
		receiver, clock, _ := newTermWithExecutors(0)
		at, atBoot := clock.Now(), clock.Boot()
		clock.Advance(claimed)
		receiver.restoreSession(&data, at, atBoot, clock.Now())
		// Shortly before the lease ends.
		left := time.Duration(float64(leaseEnd-executorClock(transfer+claimed))/rate) - duration("before", 100*time.Millisecond)
		if left > 0 {
			clock.Advance(left)
			is.True(!receiver.sessions["0"].lease.expired(clock.Now()))
		}
	})
}

// A ticket is never taken for valid for longer than it is, however long the state and the messages about it
// took and however the clocks run, and for hardly shorter if they were fast.
func TestAgeOfStateCoversItsTransfer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(statePutTimeout)).Draw(t, name))
		}
		rate := float64(rapid.IntRange(981, 1019).Draw(t, "rate")) / 1000 // of the receiver's clock by the sender's
		transfer, handling, answer := duration("transfer"), duration("handling"), 1+duration("answer")
		clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
		o := New(Deps{Host: "h", Process: "p", Clock: clock, Board: board.New(zap.NewNop()), Logger: zap.NewNop()})
		s := &heldState{epoch: 4, id: "a", at: clock.Now(), atBoot: clock.Boot()}
		clock.Advance(time.Duration(float64(handling) * rate))
		is.True(o.hold(s))
		offer := &handover{Row: board.Owner{Epoch: 4, Resigned: true}, State: "a", StateAge: transfer + handling + answer}
		is.True(o.takeState(offer) == s)
		least := time.Duration(float64(transfer) * rate) // by the receiver's clock
		is.True(s.age >= least)
		is.True(s.age <= least+answer+(transfer+handling+answer)/20+time.Microsecond)
	})
	var earlier handover // An earlier program doesn't send the age.
	if s := (&heldState{}); s.ageAtReceipt(earlier.StateAge) < time.Hour {
		t.Fatal("a state of unknown age counts as new")
	}
}

// The sender is killed after its state was received, so that no offer comes. The state, of some MiB, is dropped, and the host
// takes another one later.
func TestStateIsDroppedWithItsSender(t *testing.T) {
	is := is.New(t)
	clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
	o := New(Deps{Host: "h", Process: "p", Clock: clock, Board: board.New(zap.NewNop()), Logger: zap.NewNop()})
	is.True(o.hold(&heldState{epoch: 4, id: "a", atBoot: clock.Boot()}))
	clock.Advance(stateValidity)
	o.expireState()
	is.True(o.held != nil) // The offer may still come.
	clock.Advance(time.Millisecond)
	o.expireState()
	o.expireState()
	is.True(o.held == nil)
	is.Equal(o.metrics.handoverDropped.Count(), int64(1))
	is.True(o.hold(&heldState{epoch: 5, id: "b", atBoot: clock.Boot()}))
}

package plan

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
)

// setHint replaces the configuration by one in which the queue "urgent" is advised or not.
func (f *fixture) setHint(advised bool) {
	changed := slices.Clone(queues)
	changed[0].Advised = advised
	if advised {
		changed[0].Decide, changed[0].Each, changed[0].Valid = 20*time.Millisecond, time.Millisecond/2, 2*time.Second
	}
	f.config = model.NewConfig(f.config.Version+1, changed, []model.Service{{Name: "s"}}, []model.Team{{Name: "t", Weight: 10}})
	f.state.Configure(f.config)
}

// allow answers requests: all executors that they name are allowed, with a ticket until until.
func (f *fixture) allow(requests []AdviceRequest, until time.Time) {
	for _, q := range requests {
		tickets := make(map[string]string)
		for _, id := range q.Executors {
			tickets[id] = "ticket"
		}
		f.state.AdviceReceived(epoch, q, tickets, until.Sub(epoch))
	}
}

// A start was ordered before its queue was advised, and reached an executor that required a
// ticket already. The process ended with a write into a nil map. Without that write, the
// executor must not count as one that isn't allowed: the step would never ask for it again.
func TestTicketRequiredBeforeHintEndsProcess(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
	starts := f.state.Decide(epoch).Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Ticket, "")
	f.setHint(true)
	f.state.Refused(epoch, starts[0], RefusedTicket)
	requests := f.state.Decide(epoch).AdviceRequests
	is.Equal(len(requests), 1)
	is.Equal(requests[0].Executors, []string{"a"})
	f.allow(requests, epoch.Add(time.Second))
	starts = f.state.Decide(epoch).Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Ticket, "ticket")
}

// An executor that no request had named refused a start for want of a ticket. It counted as one
// that isn't allowed, so that the step never asked for it.
func TestRefusedTicketBarsExecutor(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.setHint(true)
	f.addReady("a")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 2, Need: oneCore, Spread: 1}), nil)
	f.allow(f.state.Decide(epoch).AdviceRequests, epoch.Add(time.Minute))
	is.Equal(len(f.state.Decide(epoch).Starts), 1)
	f.setHint(false)
	f.addReady("b")
	starts := f.state.Decide(epoch).Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Executor, "b")
	f.setHint(true)
	f.state.Refused(epoch, starts[0], RefusedTicket)
	requests := f.state.Decide(epoch).AdviceRequests
	is.Equal(len(requests), 1)
	is.Equal(requests[0].Executors, []string{"b"})
}

// Executors require tickets for a queue that isn't advised by the configuration here, since they
// have another one. The start was ordered again with each decision. Instead, the queue counts as
// advised for a while, also for its other steps.
func TestUnadvisedStartIsRefusedWithoutPause(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a", "b")
	f.state.SetAdviceSlots(4)
	for n := range 3 {
		f.state.AddJob(epoch, f.job(fmt.Sprintf("j%d", n), model.Step{Count: 2, Need: oneCore}), nil)
	}
	refused := 0
	for now := epoch; now.Before(epoch.Add(time.Second)); now = now.Add(10 * time.Millisecond) {
		for _, o := range f.state.Decide(now).Starts {
			refused++
			f.state.Refused(now, o, RefusedTicket)
		}
	}
	is.Equal(refused, 6) // Each task once.
	f.state.AddJob(epoch, f.job("other", model.Step{Count: 1, Need: oneCore}), nil)
	f.state.AddJob(epoch, &model.Job{ID: "bulk", Queue: "bulk", Team: "t", Steps: []model.Step{{Count: 1, Need: oneCore}}, Sent: epoch}, nil)
	orders := f.state.Decide(epoch.Add(ticketsRequiredFor / 2))
	is.Equal(len(orders.Starts), 1)
	is.Equal(orders.Starts[0].Task.Job, "bulk")
	f.state.expireAdviceRequests(epoch.Add(time.Minute))
	later := f.state.Decide(epoch.Add(time.Minute)).Starts // The executors may have the other configuration by now.
	is.Equal(len(later), 7)
}

// A step had a ticket from the time when its queue was advised. Its starts went on to carry the
// ticket after it had expired, and the refusals didn't count as those of starts without one.
func TestExpiredTicketIsSent(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.setHint(true)
	f.addReady("a")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
	f.allow(f.state.Decide(epoch).AdviceRequests, epoch.Add(time.Second))
	f.setHint(false)
	refused := 0
	began := epoch.Add(time.Minute)
	for now := began; now.Before(began.Add(ticketsRequiredFor)); now = now.Add(10 * time.Millisecond) {
		for _, o := range f.state.Decide(now).Starts {
			refused++
			is.Equal(o.Ticket, "")
			f.state.Refused(now, o, RefusedTicket)
		}
	}
	is.Equal(refused, 1)
}

// While executors require tickets for a queue that isn't advised here, its steps go on with
// tickets.
func TestRequiredTicketIsRequested(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
	f.state.Refused(epoch, f.state.Decide(epoch).Starts[0], RefusedTicket)
	requests := f.state.Decide(epoch).AdviceRequests
	is.Equal(len(requests), 1)
	f.allow(requests, epoch.Add(time.Second))
	starts := f.state.Decide(epoch).Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Ticket, "ticket")
}

// A new configuration ends the time for which a queue counts as advised, since it may be the one
// that the executors have.
func TestNewConfigurationRevokesRequiredTickets(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
	f.state.Refused(epoch, f.state.Decide(epoch).Starts[0], RefusedTicket)
	is.Equal(len(f.state.Decide(epoch).Starts), 0)
	f.setHint(false)
	is.Equal(len(f.state.Decide(epoch).Starts), 1)
}

// A ticket was refused after a newer one had come for the same executor. The newer one was
// dropped, too.
func TestLateRefusalDropsNewerTicket(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.setHint(true)
	f.addReady("a")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 2, Need: oneCore}), nil)
	requests := f.state.Decide(epoch).AdviceRequests
	f.state.AdviceReceived(epoch, requests[0], map[string]string{"a": "old"}, time.Second)
	starts := f.state.Decide(epoch).Starts
	is.Equal(len(starts), 2)
	f.state.AdviceReceived(epoch, requests[0], map[string]string{"a": "new"}, time.Second)
	f.state.Refused(epoch, starts[0], RefusedTicket)
	orders := f.state.Decide(epoch)
	is.Equal(len(orders.AdviceRequests), 0)
	is.Equal(len(orders.Starts), 1)
	is.Equal(orders.Starts[0].Ticket, "new")
}

// The adviser allowed no executor while its configuration had no hint for the queue. The answer
// outlived the hint, so that the step waited for ever after the hint had come back.
func TestAnswerOutlivesHint(t *testing.T) {
	tests := map[string]func(f *fixture, received func()){
		"answered before the hint went": func(f *fixture, received func()) { received(); f.setHint(false) },
		"answered after the hint went":  func(f *fixture, received func()) { f.setHint(false); received() },
		"answered while the queue was removed": func(f *fixture, received func()) {
			f.state.Configure(model.NewConfig(f.config.Version+1, nil, nil, nil))
			received()
		},
		"answered before the queue was removed": func(f *fixture, received func()) {
			received()
			f.state.Configure(model.NewConfig(f.config.Version+1, nil, nil, nil))
		},
		"answered after the hint came back": func(f *fixture, received func()) {
			f.setHint(false)
			f.setHint(true)
			received()
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.setHint(true)
			f.addReady("a")
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
			requests := f.state.Decide(epoch).AdviceRequests
			is.Equal(len(requests), 1)
			change(f, func() { f.state.AdviceReceived(epoch, requests[0], nil, time.Second) })
			f.setHint(true)
			is.Equal(len(f.state.Decide(epoch.Add(time.Second)).AdviceRequests), 1)
		})
	}
}

// Executors required tickets for a queue that isn't advised here, and the adviser, which didn't
// have their configuration yet, allowed none. The step never asked it again.
func TestDenialOutlivesRequiredTickets(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	f.state.SetAdviceSlots(4)
	for _, id := range []string{"j", "other"} {
		f.state.AddJob(epoch, f.job(id, model.Step{Count: 1, Need: oneCore}), nil)
	}
	for _, o := range f.state.Decide(epoch).Starts {
		f.state.Refused(epoch, o, RefusedTicket)
	}
	denied := 0
	for now := epoch; now.Before(epoch.Add(ticketsRequiredFor)); now = now.Add(10 * time.Millisecond) {
		for _, q := range f.state.Decide(now).AdviceRequests {
			denied++
			f.state.AdviceReceived(now, q, nil, time.Second)
		}
	}
	is.Equal(denied, 2) // Each step asks once in that time.
	later := epoch.Add(ticketsRequiredFor)
	starts := f.state.Decide(later).Starts
	is.Equal(len(starts), 2)
	for _, o := range starts {
		f.state.Refused(later, o, RefusedTicket)
	}
	is.Equal(len(f.state.Decide(later.Add(draftInterval)).AdviceRequests), 2)
}

// With two hosts left, half of the adviser's time was kept for short requests though there were none,
// and jobs that needed long ones never ran.
func TestReservedSlotStaysIdle(t *testing.T) {
	tests := map[string]struct {
		passed   time.Duration // since the last short request
		stuck    bool          // a short step waits that has no executor to ask about
		requests int
	}{
		"short requests before":   {passed: reservationTime, requests: 1},
		"no short requests since": {passed: reservationTime + time.Millisecond, requests: 2},
		"a short step is stuck":   {passed: reservationTime + time.Millisecond, stuck: true, requests: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("a", "b")
			f.state.SetAdviceSlots(2)
			f.state.AddJob(epoch, &model.Job{ID: "short", Queue: "quick", Team: "t", Steps: []model.Step{{Count: 1, Need: oneCore}}, Sent: epoch}, nil)
			requests := f.state.Decide(epoch).AdviceRequests
			is.Equal(len(requests), 1)
			f.allow(requests, epoch.Add(time.Second))
			is.Equal(len(f.state.Decide(epoch).Starts), 1)
			if tt.stuck {
				f.state.AddJob(epoch, &model.Job{ID: "stuck", Queue: "quick", Team: "t", Steps: []model.Step{{Count: 1, Need: fullExecutor.Add(oneCore)}}, Sent: epoch}, nil)
			}
			for _, id := range []string{"long", "longer"} {
				f.state.AddJob(epoch, &model.Job{ID: id, Queue: "advised", Team: "t", Steps: []model.Step{{Count: 1, Need: oneCore}}, Sent: epoch}, nil)
			}
			is.Equal(len(f.state.Decide(epoch.Add(tt.passed)).AdviceRequests), tt.requests)
		})
	}
}

// An executor refuses each ticket. Requests and starts followed one another without pause.
func TestRefusedTicketIsRequestedWithoutPause(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.setHint(true)
	f.addReady("a")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
	refused := 0
	for now := epoch; now.Before(epoch.Add(time.Second)); now = now.Add(10 * time.Millisecond) {
		orders := f.state.Decide(now)
		for _, o := range orders.Starts {
			refused++
			f.state.Refused(now, o, RefusedTicket)
		}
		f.allow(orders.AdviceRequests, now.Add(time.Second))
	}
	is.True(refused > 1)
	is.True(refused <= int(time.Second/failedRequestBackoff))
}

// The adviser failed at once. The request was repeated with each decision.
func TestFailedRequestIsRepeatedWithoutPause(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.setHint(true)
	f.addReady("a")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
	failed := 0
	for now := epoch; now.Before(epoch.Add(time.Second)); now = now.Add(10 * time.Millisecond) {
		for _, q := range f.state.Decide(now).AdviceRequests {
			failed++
			f.state.AdviceFailed(now, q)
		}
	}
	is.True(failed > 1)
	is.True(failed <= int(time.Second/failedRequestBackoff))
}

// A start was queued, or held back for its record, when its queue became advised. It was sent
// without a ticket all the same, to be refused.
func TestQueuedStartLacksTicket(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
	start := f.state.Decide(epoch).Starts[0]
	is.True(f.state.StillWanted(epoch, &start))
	f.setHint(true)
	is.True(!f.state.StillWanted(epoch, &start))
	f.state.Refused(epoch, start, RefusedNumber) // As the owner does.
	f.allow(f.state.Decide(epoch).AdviceRequests, epoch.Add(time.Second))
	starts := f.state.Decide(epoch).Starts
	is.Equal(len(starts), 1)
	is.True(f.state.StillWanted(epoch, &starts[0]))
}

// Hints come and go at any time, executors and the adviser have them sooner or later than the
// owner, and requests fail. Afterwards all tasks start within a bounded time, and until then
// starts without a ticket are refused a bounded number of times.
func TestHintChangesStopSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		f.addReady("a", "b", "c")
		f.state.SetAdviceSlots(2)
		now, required := epoch, false
		tasks, left, refused, changes := 0, 0, 0, 0
		var requests []AdviceRequest
		// allow answers requests with tickets that have the time in them until which they are valid.
		allow := func() {
			for _, q := range requests {
				const valid = 300 * time.Millisecond
				tickets := make(map[string]string)
				for _, id := range q.Executors {
					tickets[id] = strconv.FormatInt(now.Add(valid).UnixMilli(), 10)
				}
				f.state.AdviceReceived(now, q, tickets, valid)
			}
			requests = nil
		}
		carryOut := func(orders Orders) {
			for _, o := range orders.Starts {
				until, err := strconv.ParseInt(o.Ticket, 10, 64)
				if required && (err != nil || now.UnixMilli() > until) {
					refused++
					f.state.Refused(now, o, RefusedTicket)
					continue
				}
				left--
				f.state.Started(now, o)
			}
			requests = append(requests, orders.AdviceRequests...)
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"job", "owner's hint", "executors' hint", "allow", "deny", "fail", "lose"}).Draw(t, "event") {
			case "job":
				n := rapid.IntRange(1, 4).Draw(t, "tasks")
				tasks, left = tasks+n, left+n
				f.state.AddJob(now, f.job(fmt.Sprintf("j%d", i), model.Step{Count: n, Need: oneCore}), nil)
			case "owner's hint":
				changes++
				f.setHint(rapid.Bool().Draw(t, "advised"))
			case "executors' hint":
				changes++
				required = rapid.Bool().Draw(t, "required")
			case "allow":
				allow()
			case "deny": // The adviser has no hint for the queue.
				if required {
					continue
				}
				for _, q := range requests {
					f.state.AdviceReceived(now, q, nil, time.Second)
				}
				requests = nil
			case "fail":
				for _, q := range requests {
					f.state.AdviceFailed(now, q)
				}
				requests = nil
			case "lose":
				requests = nil
			}
			carryOut(f.state.Decide(now))
		}
		required = true
		f.setHint(false)
		f.setHint(true)
		for end := now.Add(lostRequestGrace + 2*time.Second); now.Before(end) && left > 0; now = now.Add(10 * time.Millisecond) {
			allow()
			carryOut(f.state.Decide(now))
		}
		if left > 0 {
			t.Fatalf("%d of %d tasks haven't started", left, tasks)
		}
		// A change, or the end of a time for which tickets counted as required, may lead to a
		// refusal of each task.
		periods := changes + 2 + int(now.Sub(epoch)/ticketsRequiredFor)
		if most := tasks * periods; refused > most {
			t.Fatalf("%d starts without a ticket were refused, at most %d may be", refused, most)
		}
	})
}

// An executor started again under its ID. What the adviser had said of its earlier life was used
// for the next: a start carried a ticket that had become invalid, or a step never asked about it.
func TestAnswerOutlivesExecutor(t *testing.T) {
	tests := map[string]struct {
		tickets map[string]string
		again   func(f *fixture)
		late    bool // the answer comes after the start
	}{
		"ticket":                 {tickets: map[string]string{"a": "old"}, again: func(f *fixture) { f.state.NewIncarnation(epoch, "a") }},
		"ticket, late":           {tickets: map[string]string{"a": "old"}, again: func(f *fixture) { f.state.NewIncarnation(epoch, "a") }, late: true},
		"ticket, entry is back":  {tickets: map[string]string{"a": "old"}, again: func(f *fixture) { f.state.RemoveExecutor("a") }},
		"denial":                 {again: func(f *fixture) { f.state.NewIncarnation(epoch, "a") }},
		"denial, late":           {again: func(f *fixture) { f.state.NewIncarnation(epoch, "a") }, late: true},
		"denial, entry is back":  {again: func(f *fixture) { f.state.RemoveExecutor("a") }},
		"denial, late, not back": {again: func(f *fixture) { f.state.RemoveExecutor("a"); f.state.Decide(epoch) }, late: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.setHint(true)
			f.addReady("a")
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
			q := f.state.Decide(epoch).AdviceRequests[0]
			if !tt.late {
				f.state.AdviceReceived(epoch, q, tt.tickets, time.Minute)
			}
			tt.again(f)
			if tt.late {
				f.state.AdviceReceived(epoch, q, tt.tickets, time.Minute)
			}
			f.addReady("a")
			orders := f.state.Decide(epoch.Add(draftInterval))
			is.Equal(len(orders.Starts), 0)
			is.Equal(len(orders.AdviceRequests), 1)
			f.state.AdviceReceived(epoch, orders.AdviceRequests[0], map[string]string{"a": "new"}, time.Minute)
			starts := f.state.Decide(epoch.Add(draftInterval)).Starts
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Ticket, "new")
		})
	}
}

// The answer to a request that counted as lost came after all. It ended the request that had been
// sent in its place, so that more requests were pending than there are slots, and its denial of
// the time before a hint was stored for good.
func TestLateAnswerEndsNewerRequest(t *testing.T) {
	tests := map[string]func(f *fixture, q AdviceRequest, now time.Time){
		"answer":  func(f *fixture, q AdviceRequest, now time.Time) { f.state.AdviceReceived(now, q, nil, time.Second) },
		"failure": func(f *fixture, q AdviceRequest, now time.Time) { f.state.AdviceFailed(now, q) },
	}
	for name, late := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.setHint(true)
			f.addReady("a")
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
			first := f.state.Decide(epoch).AdviceRequests[0]
			f.setHint(false)
			f.setHint(true)
			now := epoch.Add(time.Minute)
			f.state.expireAdviceRequests(now)
			now = now.Add(failedRequestBackoff)
			second := f.state.Decide(now).AdviceRequests
			is.Equal(len(second), 1)
			late(f, first, now)
			now = now.Add(failedRequestBackoff)
			is.Equal(len(f.state.Decide(now).AdviceRequests), 0) // One is pending.
			f.state.AdviceFailed(now, second[0])
			is.Equal(len(f.state.Decide(now.Add(failedRequestBackoff)).AdviceRequests), 1) // The executor isn't denied.
		})
	}
}

// Tickets are valid for less time than a start's margin. The step asked for them again and again
// and never started.
func TestShortTicketIsNeverUsed(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.setHint(true)
	f.addReady("a")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
	q := f.state.Decide(epoch).AdviceRequests[0]
	f.state.AdviceReceived(epoch, q, map[string]string{"a": "ticket"}, ticketMargin/2)
	starts := f.state.Decide(epoch).Starts
	is.Equal(len(starts), 1)
	is.Equal(starts[0].Ticket, "ticket")
}

// Tickets were no longer valid when they came. Requests followed one another without pause.
func TestExpiredTicketIsRequestedWithoutPause(t *testing.T) {
	tests := map[string]time.Duration{"at once": 0, "negative": -time.Second, "before the next decision": time.Millisecond}
	for name, valid := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.setHint(true)
			f.addReady("a")
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
			requests := 0
			for now := epoch; now.Before(epoch.Add(time.Second)); now = now.Add(10 * time.Millisecond) {
				for _, q := range f.state.Decide(now).AdviceRequests {
					requests++
					f.state.AdviceReceived(now, q, map[string]string{"a": "ticket"}, valid)
				}
			}
			is.True(requests > 1)
			is.True(requests <= int(time.Second/failedRequestBackoff))
		})
	}
}

// The adviser denied executors while it had another configuration than the owner, which never saw
// that the hint had been gone. The step waited for ever.
func TestDenialIsNeverReviewed(t *testing.T) {
	tests := map[string]struct {
		step    model.Step
		allowed map[string]string // in the first answer
	}{
		"all executors denied":  {step: model.Step{Count: 1, Need: oneCore}},
		"too few for the gang":  {step: model.Step{Count: 2, Need: fullExecutor, Gang: true}, allowed: map[string]string{"a": "ticket"}},
		"the other one is weak": {step: model.Step{Count: 1, Need: fullExecutor}, allowed: map[string]string{"weak": "ticket"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.setHint(true)
			f.addReady("a", "b")
			f.state.SetExecutor(model.Executor{ID: "weak", Service: "s", Address: "weak", Room: oneCore.Sub(model.Amount{CPU: 1}), Kind: "a", Rack: "r1", Labels: []string{"a", "r1"}})
			f.state.Reported(epoch, "weak", Report{RequestedAt: epoch})
			f.state.AddJob(epoch, f.job("j", tt.step), nil)
			answers, started := 0, 0
			for now := epoch; now.Before(epoch.Add(3 * denialReviewInterval)); now = now.Add(10 * time.Millisecond) {
				orders := f.state.Decide(now)
				started += len(orders.Starts)
				f.confirm(now, orders.Starts)
				for _, q := range orders.AdviceRequests {
					answers++
					tickets := tt.allowed
					if answers > 2 { // The adviser has the owner's configuration now.
						tickets = map[string]string{"a": "ticket", "b": "ticket"}
					}
					f.state.AdviceReceived(now, q, tickets, time.Minute)
				}
				if now.Equal(epoch.Add(denialReviewInterval / 2)) {
					is.Equal(answers, 1) // A denial stands for a while.
				}
			}
			is.Equal(started, tt.step.Count)
			is.Equal(answers, 3)
		})
	}
}

// The executors that are allowed are full. Those that were denied aren't asked about again.
func TestDenialIsReviewedWhileAllowedExecutorsAreFull(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.setHint(true)
	f.addReady("a", "b")
	f.state.AddJob(epoch, f.job("first", model.Step{Count: 1, Need: fullExecutor}), nil)
	f.state.AdviceReceived(epoch, f.state.Decide(epoch).AdviceRequests[0], map[string]string{"a": "ticket"}, time.Minute)
	f.confirm(epoch, f.state.Decide(epoch).Starts)
	f.state.AddJob(epoch, f.job("second", model.Step{Count: 2, Need: oneCore}), nil)
	f.state.AdviceReceived(epoch, f.state.Decide(epoch).AdviceRequests[0], nil, time.Minute)
	is.Equal(f.state.executors["b"].used, model.Amount{})
	for now := epoch; now.Before(epoch.Add(3 * denialReviewInterval)); now = now.Add(10 * time.Millisecond) {
		for _, q := range f.state.Decide(now).AdviceRequests {
			is.Equal(q.Executors, []string{"a"})
		}
	}
}

// The tickets of a gang's few allowed executors were renewed every two seconds. Each answer put off
// the review of the denials, so that the gang waited for ever.
func TestRenewedTicketsPutOffReview(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.setHint(true)
	f.addReady("a", "b")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 2, Need: fullExecutor, Gang: true}), nil)
	started, named := 0, 0
	for now := epoch; now.Before(epoch.Add(2 * denialReviewInterval)); now = now.Add(10 * time.Millisecond) {
		orders := f.state.Decide(now)
		started += len(orders.Starts)
		f.confirm(now, orders.Starts)
		for _, q := range orders.AdviceRequests {
			tickets := map[string]string{"a": "ticket"}
			if now.After(epoch) { // The adviser has the owner's configuration now.
				tickets["b"] = "ticket"
			}
			if slices.Contains(q.Executors, "b") {
				named++
			}
			f.state.AdviceReceived(now, q, tickets, 2*time.Second)
		}
	}
	is.Equal(started, 2)
	is.Equal(named, 2) // A denial stands for a while.
}

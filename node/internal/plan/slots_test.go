package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// addAdvised adds a job in an advised queue that was sent at sent.
func (f *fixture) addAdvised(id, queue string, sent time.Time, step model.Step) {
	f.state.AddJob(epoch, &model.Job{ID: id, Queue: queue, Team: "t", Steps: []model.Step{step}, Sent: sent}, nil)
}

// Steps waited for seconds without being asked about while slots were idle: executors were full
// whenever a request was drafted, and what they freed was taken before the answer, or a request was
// put off since few tasks would have started.
func TestStepIsNotAskedAboutWhileSlotsAreIdle(t *testing.T) {
	tests := map[string]struct {
		used  model.Amount
		count int // executors on which that is used
		need  model.Amount
		named int
	}{
		"all executors are full":  {used: fullExecutor, count: 2, need: oneCore, named: 2},
		"few tasks would start":   {used: fullExecutor, count: 1, need: model.Amount{CPU: 4000, Memory: 100}, named: 1},
		"only a small need fits":  {used: oneCore, count: 2, need: fullExecutor, named: 2},
		"none is full for others": {used: fullExecutor.Sub(oneCore), count: 2, need: oneCore.Add(oneCore), named: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.state.SetAdviceSlots(4)
			f.addReady("a", "b")
			f.state.AddJob(epoch, f.job("running", model.Step{Count: tt.count, Need: tt.used, Spread: 1}), nil)
			f.confirm(epoch, f.state.Decide(epoch).Starts)
			f.addAdvised("j", "advised", epoch, model.Step{Count: 8, Need: tt.need, Estimate: time.Minute})
			requests := f.state.Decide(epoch.Add(10 * time.Millisecond)).AdviceRequests
			is.Equal(len(requests), 1)
			is.Equal(len(requests[0].Executors), tt.named)
		})
	}
}

// Hopeless steps took slots while steps that could still be in time waited for one.
func TestHopelessStepTakesSlot(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a", "b")
	f.state.SetAdviceSlots(1)
	step := model.Step{Count: 1, Need: oneCore, Estimate: time.Second}
	f.addAdvised("hopeless", "quick", epoch.Add(-time.Hour), step) // Of higher priority.
	f.addAdvised("late", "advised", epoch.Add(-4*time.Second), step)
	orders := f.state.Decide(epoch)
	is.Equal(len(orders.AdviceRequests), 1)
	is.Equal(orders.AdviceRequests[0].Step.Job, "late")
	is.Equal(len(f.state.Decide(epoch.Add(10*time.Millisecond)).AdviceRequests), 0)
	f.allow(orders.AdviceRequests, epoch.Add(time.Minute))
	orders = f.state.Decide(epoch.Add(20 * time.Millisecond)) // The slot is idle.
	is.Equal(len(orders.AdviceRequests), 1)
	is.Equal(orders.AdviceRequests[0].Step.Job, "hopeless")
}

// A quarter of the slots was kept for short requests that needed one slot at a time.
func TestReservedSlotsFollowShortRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a", "b")
	const slots = 12
	f.state.SetAdviceSlots(slots)
	for i := range 2 * slots {
		f.addAdvised(fmt.Sprintf("long%d", i), "advised", epoch, model.Step{Count: 1, Need: oneCore, Estimate: time.Hour})
	}
	is.Equal(len(f.state.Decide(epoch).AdviceRequests), slots-slots/unknownShortDivisor) // Nothing is known yet.
	f.state.pendingAdvice, f.state.longRequests = make(map[model.StepID]pendingRequest), 0
	now := epoch
	for i := range 200 { // One short request at a time, for 20 s.
		now = now.Add(100 * time.Millisecond)
		f.state.Pause(i < 199)
		f.state.adviceSlotFree(false, now)
		f.state.shortRequestAt, f.state.shortWanted = now, 0
	}
	is.Equal(f.state.reservedSlots(now), 1)
	orders := f.state.Decide(now)
	is.Equal(len(orders.AdviceRequests), slots-1)
	is.Equal(orders.AdviceIdle, time.Duration(0))
	orders = f.state.Decide(now.Add(20 * time.Millisecond)) // A slot is reserved while steps wait for one.
	is.Equal(orders.AdviceIdle, time.Duration(0))
	is.Equal(len(orders.AdviceIdles), 1)
	is.True(orders.AdviceIdles[0].Reserved)
	f.state.shortRequestAt = now.Add(-time.Hour)
	is.Equal(len(f.state.Decide(now.Add(30*time.Millisecond)).AdviceRequests), 1)
	for id := range f.state.pendingAdvice { // Its stage may not ask again at once.
		st := f.state.adviceStage(id)
		st.advice.requestedAt, st.advice.nextRequest = time.Time{}, now.Add(time.Hour)
		st.occur.job.spec.Sent = epoch.Add(-time.Minute) // It is first in order.
		delete(f.state.pendingAdvice, id)
		f.state.longRequests--
		break
	}
	f.state.SetAdviceSlots(slots + slots)
	f.state.Decide(now.Add(40 * time.Millisecond))
	orders = f.state.Decide(now.Add(1100 * time.Millisecond))
	is.Equal(orders.AdviceIdle, maxIdleGap)
	is.True(orders.AdviceIdles[0].Failed)
}

// All hosts refused calls at once. Each of many stages sent one in each decision.
func TestFailedRequestsOfManyStagesFollowWithoutPause(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a", "b")
	f.state.SetAdviceSlots(4)
	for i := range 100 {
		f.addAdvised(fmt.Sprintf("j%d", i), "quick", epoch, model.Step{Count: 1, Need: oneCore, Estimate: time.Hour})
	}
	failed := 0
	for now := epoch; now.Before(epoch.Add(time.Second)); now = now.Add(10 * time.Millisecond) {
		for _, q := range f.state.Decide(now).AdviceRequests {
			failed++
			f.state.AdviceFailed(now, q)
		}
	}
	is.Equal(failed, 4*int(time.Second/failedRequestBackoff))
}

package plan

import (
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// addBorn adds an executor that began its present life at born and has reported.
func (f *fixture) addBorn(id string, born time.Time) {
	f.state.SetExecutor(model.Executor{ID: id, Born: born, Service: "s", Address: id, Room: fullExecutor, Kind: "a", Rack: "r1"})
	f.state.Reported(epoch, id, Report{RequestedAt: epoch})
	f.state.AllExecutorsListed(epoch)
}

// A successor asked the adviser again for all that its predecessor knew. What it takes over must be
// for the same incarnation of the executor, under the same hint, and expire at the same time.
func TestAnswersAreHandedOver(t *testing.T) {
	tests := map[string]struct {
		change func(f *fixture) // of the successor, before it takes the answers over
		after  func(f *fixture) // after that
		age    time.Duration
		named  []string // in the successor's first request
		starts int
	}{
		"nothing has changed":        {starts: 2},
		"ticket expires on the way":  {age: 2 * time.Second, named: []string{"a"}},
		"another incarnation of a":   {change: func(f *fixture) { f.addBorn("a", epoch.Add(time.Second)) }, named: []string{"a"}},
		"a begins another life":      {change: func(f *fixture) { f.state.NewIncarnation(epoch, "a"); f.addBorn("a", epoch) }, named: []string{"a"}},
		"a begins another one later": {after: func(f *fixture) { f.state.NewIncarnation(epoch, "a"); f.addBorn("a", epoch) }, named: []string{"a"}},
		"another incarnation of b":   {change: func(f *fixture) { f.addBorn("b", epoch.Add(time.Second)) }, starts: 2},
		"the hint has gone": {change: func(f *fixture) {
			f.addBorn("a", epoch.Add(time.Second))
			f.state.jobs["j"].queue.Advised = false
			f.state.ticketsRequired["advised"] = epoch.Add(time.Hour)
		}, named: []string{"a", "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			prepare := func() *fixture {
				f := newFixture()
				f.addBorn("a", epoch)
				f.addBorn("b", epoch)
				f.state.SetAdviceSlots(4)
				f.addAdvised("j", "advised", epoch, model.Step{Count: 2, Need: oneCore, Estimate: time.Hour})
				f.state.Pause(true)
				f.state.Decide(epoch)
				f.state.Pause(false)
				return f
			}
			owner, successor := prepare(), prepare()
			for _, q := range owner.state.Decide(epoch).AdviceRequests {
				is.Equal(len(q.Executors), 2)
				owner.state.AdviceReceived(epoch, q, map[string]string{"a": "ticket"}, 2*time.Second)
			}
			data, err := cbor.Marshal(owner.state.AdviceAnswers(epoch))
			is.NoErr(err)
			var answers AdviceAnswers
			is.NoErr(cbor.Unmarshal(data, &answers))
			successor.state.waitingStages(epoch) // Begins the occurrence, as reading the records does.
			if tt.change != nil {
				tt.change(successor)
			}
			successor.state.AddAdviceAnswers(epoch, &answers, tt.age)
			if tt.after != nil {
				tt.after(successor)
			}
			orders := successor.state.Decide(epoch.Add(10 * time.Millisecond))
			is.Equal(len(orders.Starts), tt.starts)
			var named []string
			for _, q := range orders.AdviceRequests {
				named = append(named, q.Executors...)
			}
			slices.Sort(named)
			is.Equal(named, tt.named)
			for _, o := range orders.Starts {
				is.Equal(o.Executor, "a")
				is.Equal(o.Ticket, "ticket")
			}
		})
	}
}

// Answers that don't fit to what the successor knows, or aren't well-formed, must do no harm. A large
// cell's answers must stay small enough to be sent within the time of a hand-over.
func TestAnswersOfLargeCell(t *testing.T) {
	is := is.New(t)
	b := newBacklog(350, 4000, false, "advised")
	for _, e := range b.fixture.state.executors {
		info := e.info
		info.Born = epoch
		b.fixture.state.SetExecutor(info)
	}
	answers := b.fixture.state.AdviceAnswers(b.now)
	data, err := cbor.Marshal(answers)
	is.NoErr(err)
	t.Logf("%d stages, %d bytes", len(answers.Stages), len(data))
	is.True(len(data) < 1<<20)
	f := newFixture()
	f.addBorn("a", epoch)
	f.addAdvised("j", "advised", epoch, model.Step{Count: 2, Need: oneCore})
	f.state.waitingStages(epoch)
	f.state.AddAdviceAnswers(epoch, &AdviceAnswers{
		Executors: []AnsweredExecutor{{ID: "a", Born: epoch.UnixNano()}, {ID: "unknown"}},
		Stages: []StageAnswers{
			{Job: "unknown"}, {Job: "j", Step: 7}, {Job: "j", Step: -1}, {Job: "j", Occur: -1},
			{Job: "j", Denied: []byte{255, 255}, Tickets: []AnswerTicket{{Executor: 9, Left: time.Hour}, {Executor: -1, Left: time.Hour}, {Executor: 1, Left: time.Hour}}},
		},
		Shares: []QueueShare{{Queue: "advised", Named: 1, Allowed: 2}},
	}, 0)
	is.Equal(len(f.state.Decide(epoch).Starts), 0)
	is.Equal(f.state.allowedShare("advised").value(), expectedAllowedShare)
	_, known := f.state.stageOf(model.Task{Job: "j"}).advice.tickets["unknown"]
	is.True(!known)
}

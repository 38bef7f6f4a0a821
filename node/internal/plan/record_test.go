package plan

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
)

// recordedSize returns the size of the row with a job's progress, in bytes.
func recordedSize(c *Change) (int, error) {
	put, err := board.Put(board.Progress, board.Main, c.Job, c.Progress)
	return len(put.Value), err
}

// The progress of a job outgrew the row that records it, and the store refused all further writes
// of the owner. Jobs of any shape stay below the limit, and their tasks go on.
func TestRecordOutgrowsRow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{4096, 16384}).Draw(t, "size")
		f, now := newFixture(WithRecordSize(size)), epoch
		for i := range rapid.IntRange(1, 4).Draw(t, "executors") {
			id := strings.Repeat("x", rapid.IntRange(0, 30).Draw(t, "name")) + fmt.Sprint(i)
			f.state.SetExecutor(model.Executor{ID: id, Service: "s", Address: id, Room: model.Amount{CPU: 1 << 40, Memory: 1 << 40}})
			f.state.Reported(now, id, Report{RequestedAt: now})
		}
		f.state.AllExecutorsListed(now)
		j := f.job("j")
		for i := range rapid.IntRange(1, size/256).Draw(t, "steps") {
			step := model.Step{Count: rapid.IntRange(1, 600).Draw(t, "count"), Need: model.Amount{CPU: 1}, Copies: rapid.Bool().Draw(t, "copies")}
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				step.Gang, step.Count = true, 1+step.Count%40
			case 1:
				step.Lasting, step.Count = true, 1+step.Count%20
			}
			if i > 0 && rapid.Bool().Draw(t, "dependent") {
				step.After = []int{rapid.IntRange(0, i-1).Draw(t, "after")}
			}
			j.Steps = append(j.Steps, step)
		}
		if rapid.Bool().Draw(t, "recurs") {
			j.Times, j.First, j.Every = rapid.IntRange(1, 200).Draw(t, "times"), now.Add(-time.Hour), time.Millisecond
		}
		if err := j.Check(); err != nil {
			t.Fatal(err)
		}
		if j.CheckRecord(size) != nil { // Without what must run at the same time it is accepted.
			for i := range j.Steps {
				j.Steps[i].Gang, j.Steps[i].Lasting = false, false
			}
			if err := j.CheckRecord(size); err != nil {
				t.Fatal(err)
			}
		}
		f.state.AddJob(now, j, nil)
		failing := rapid.IntRange(0, 3).Draw(t, "failing")
		silent := rapid.Bool().Draw(t, "silent")
		for round := range 12 {
			now = now.Add(time.Second)
			starts := f.state.Decide(now).Starts
			for _, c := range f.state.Changes(1) {
				n, err := recordedSize(&c)
				if err != nil || n > size || n > c.Size {
					t.Fatalf("the record takes %d bytes, its bound is %d and the limit %d: %v", n, c.Size, size, err)
				}
				f.state.Recorded(c)
			}
			running := f.state.jobs["j"]
			if running == nil || running.phase.Final() {
				return
			}
			if running.runCount == 0 && len(starts) == 0 {
				t.Fatalf("in round %d nothing runs and nothing starts", round)
			}
			if silent && round == 3 {
				f.state.Silent(now, firstExecutor(starts))
			}
			f.confirm(now, starts)
			for i, o := range starts {
				outcome := model.RunDone
				if failing > 0 && (i+round)%(failing+2) == 0 {
					outcome = model.RunFailed
				}
				if round > 0 || i%2 == 0 { // The others go on.
					f.end(now, o, outcome)
				}
			}
		}
	})
}

// firstExecutor returns the executor of the first start, empty if there is none.
func firstExecutor(starts []Start) string {
	if len(starts) == 0 {
		return ""
	}
	return starts[0].Executor
}

// The IDs of executors are longer than expected, so that a gang doesn't fit in its job's record.
// It starts all the same, and never waits for ever.
func TestGangOutgrowsRecord(t *testing.T) {
	is := is.New(t)
	f := newFixture(WithRecordSize(4096))
	f.addReady(strings.Repeat("x", 200))
	j := f.job("j", model.Step{Count: 60, Need: model.Amount{CPU: 1}, Gang: true})
	is.NoErr(j.CheckRecord(4096))
	f.state.AddJob(epoch, j, nil)
	is.Equal(len(f.state.Decide(epoch).Starts), 60)
}

// A job whose tasks last was accepted with more times than may be open, so that its last
// occurrences never began.
func TestAcceptedOccurrencesNeverBegin(t *testing.T) {
	is := is.New(t)
	const size = 65536
	f := newFixture(WithRecordSize(size))
	f.addReady("a")
	j := f.job("j", model.Step{Count: 1, Need: model.Amount{CPU: 1}, Lasting: true})
	j.First = epoch
	for j.Times = 1; j.CheckRecord(size) == nil; j.Times++ {
	}
	j.Times--
	f.state.AddJob(epoch, j, nil)
	started := 0
	for range j.Times {
		starts := f.state.Decide(epoch).Starts
		started += len(starts)
		f.confirm(epoch, starts)
	}
	is.Equal(started, j.Times)
	is.True(j.Times > 100)
}

// A job that needs more runs at the same time than can be recorded is rejected at submission,
// with the limit.
func TestTooManyRunsAreAccepted(t *testing.T) {
	const size = 65536
	tests := map[string]struct {
		steps  []model.Step
		times  int
		reject bool
	}{
		"many tasks":                   {steps: []model.Step{{Count: model.MaxTasks}}},
		"a gang":                       {steps: []model.Step{{Count: 1000, Gang: true}}},
		"a large gang":                 {steps: []model.Step{{Count: 5000, Gang: true}}, reject: true},
		"tasks that last":              {steps: []model.Step{{Count: 1000, Lasting: true}}},
		"many tasks that last":         {steps: []model.Step{{Count: 5000, Lasting: true}}, reject: true},
		"tasks that last in each time": {steps: []model.Step{{Count: 10, Lasting: true}}, times: 200, reject: true},
		"one that lasts in each time":  {steps: []model.Step{{Count: 1, Lasting: true}}, times: 1000, reject: true},
		"as many as begin":             {steps: []model.Step{{Count: 1, Lasting: true}}, times: 400},
		"times without end":            {steps: []model.Step{{Count: 1, Lasting: true}}, times: math.MaxInt, reject: true},
		"a gang beside them":           {steps: []model.Step{{Count: 700, Lasting: true}, {Count: 700, Gang: true}}, reject: true},
		"many steps":                   {steps: make([]model.Step, 1000)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range tt.steps {
				tt.steps[i].Count = max(1, tt.steps[i].Count)
			}
			j := &model.Job{ID: "j", Steps: tt.steps, Times: tt.times}
			is.NoErr(j.Check())
			var limit *model.RecordLimitError
			is.Equal(errors.As(j.CheckRecord(size), &limit), tt.reject)
		})
	}
}

package plan

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
)

// history plays drawn events on a State.
type history struct {
	t      *rapid.T
	f      *fixture
	now    time.Time
	jobs   int
	starts []Start // without an end
}

func (h *history) pick(what string) (Start, bool) {
	if len(h.starts) == 0 {
		return Start{}, false
	}
	return h.starts[rapid.IntRange(0, len(h.starts)-1).Draw(h.t, what)], true
}

// addJob adds a job of a drawn kind. Each was accepted at another time, so that no order is left open.
func (h *history) addJob() {
	h.jobs++
	kind := rapid.SampledFrom([]string{"chain", "gang", "lasting", "recurring", "copies", "filler"}).Draw(h.t, "kind")
	step := model.Step{Count: rapid.IntRange(1, 4).Draw(h.t, "tasks"), Need: model.Amount{CPU: int64(1000 * rapid.IntRange(1, 12).Draw(h.t, "cores")), Memory: 10}, Estimate: 400 * time.Millisecond}
	j := h.f.job(fmt.Sprintf("j%d", h.jobs), step)
	switch kind {
	case "gang":
		j.Steps[0].Gang, j.Steps[0].Checkpoints = true, true
	case "lasting":
		j.Steps[0].Lasting, j.Steps[0].Target, j.Queue = true, 100*time.Millisecond, "bulk"
	case "recurring":
		j.Times, j.First, j.Every = 5, h.now.Add(time.Duration(h.jobs)*time.Microsecond), 300*time.Millisecond
	case "copies":
		j.Steps[0].Copies = true
	case "filler":
		j.Steps[0].Filler, j.Queue = true, "bulk"
	default:
		next := step
		next.After = []int{0}
		j.Steps = append(j.Steps, next)
	}
	j.Team = rapid.SampledFrom([]string{"t", "capped"}).Draw(h.t, "team")
	j.Sent = epoch.Add(time.Duration(h.jobs) * time.Millisecond)
	var progress *model.Progress
	if rapid.Bool().Draw(h.t, "inherited") {
		progress = &model.Progress{}
	}
	h.f.state.AddJob(h.now, j, progress)
}

func (h *history) play(event string) {
	s := h.f.state
	executor := fmt.Sprintf("e%d", rapid.IntRange(0, 3).Draw(h.t, "executor"))
	switch event {
	case "job":
		h.addJob()
	case "decide":
		h.starts = append(h.starts, s.Decide(h.now).Starts...)
	case "confirm", "refuse", "unanswered", "end":
		o, ok := h.pick(event)
		if !ok {
			return
		}
		h.play1(event, o)
	case "report":
		rep := Report{RequestedAt: h.now.Add(-10 * time.Millisecond)}
		for _, r := range s.executors[executor].runs {
			if r.state != starting && rapid.Bool().Draw(h.t, "listed") {
				rep.Runs = append(rep.Runs, model.Run{Task: r.stage.taskID(r.index), Number: r.number, Percent: rapid.IntRange(0, 100).Draw(h.t, "percent"), Gauge: int64(rapid.IntRange(0, 150).Draw(h.t, "gauge"))})
			}
		}
		s.Reported(h.now, executor, rep)
	case "silent":
		s.Silent(h.now, executor)
	case "cancel":
		s.Cancel(h.now, fmt.Sprintf("j%d", rapid.IntRange(1, 9).Draw(h.t, "job")))
	case "record":
		for _, c := range s.Changes(2) {
			s.Recorded(c)
		}
	case "life":
		s.NewIncarnation(h.now, executor)
	}
}

func (h *history) play1(event string, o Start) {
	s := h.f.state
	switch event {
	case "confirm":
		s.Started(h.now, o)
	case "refuse":
		s.Refused(h.now, o, rapid.SampledFrom([]Refusal{RefusedBusy, RefusedRoom, RefusedNumber}).Draw(h.t, "why"))
	case "unanswered":
		s.Unanswered(h.now, o)
	default:
		if s.find(o.Executor, o.Task, o.Number) != nil {
			h.f.end(h.now, o, rapid.SampledFrom([]model.Outcome{model.RunDone, model.RunFailed, model.RunStopped}).Draw(h.t, "outcome"))
		}
	}
}

// sorted returns what orders tell an executor to do, in one order.
func sorted(o Orders) []string {
	var out []string
	for _, x := range o.Starts {
		out = append(out, fmt.Sprint("start", x))
	}
	for _, x := range o.Stops {
		out = append(out, fmt.Sprint("stop", x))
	}
	for _, x := range o.Paces {
		out = append(out, fmt.Sprint("pace", x))
	}
	slices.Sort(out)
	return out
}

// A successor that restores a snapshot decides as its predecessor would have, in the next decisions
// and after the next reports: otherwise a hand-over would start tasks twice, exceed a capacity or a
// limit, or lose a start, a stop or a delay.
func TestSuccessorDecidesAsSenderOfSnapshot(t *testing.T) {
	events := []string{"job", "job", "decide", "decide", "confirm", "confirm", "end", "end", "refuse", "unanswered", "report", "silent", "cancel", "record", "life"}
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		h := &history{t: t, f: newFixture(WithSettleDeadline(epoch.Add(settleTime))), now: epoch}
		h.f.addReady("e0", "e1", "e2", "e3")
		for range rapid.IntRange(1, 50).Draw(t, "events") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
			h.play(rapid.SampledFrom(events).Draw(t, "event"))
		}
		s := h.f.state
		for _, e := range s.executors { // A successor gets starts without an answer as in doubt.
			for _, r := range e.runs {
				if r.state == starting {
					r.state = inDoubt
				}
			}
		}
		data, err := s.Snapshot(h.now)
		is.NoErr(err)
		// The successor's clock shows another time.
		const ahead = 42 * time.Minute
		restored := New(h.f.config)
		specs := make(map[string]*model.Job)
		for id, j := range s.jobs {
			spec := *j.spec
			if spec.Times > 0 {
				spec.First = spec.First.Add(ahead)
			}
			spec.Sent = spec.Sent.Add(ahead)
			specs[id] = &spec
		}
		is.NoErr(restored.Restore(h.now.Add(ahead), 0, data, func(id string) *model.Job { return specs[id] }))
		for name, u := range s.teams {
			v := restored.team(name)
			is.Equal(u.used, v.used)
			is.Equal(u.urgentCPU, v.urgentCPU)
		}
		for range 4 {
			h.now = h.now.Add(70 * time.Millisecond)
			is.Equal(sorted(s.Decide(h.now)), sorted(restored.Decide(h.now.Add(ahead))))
			is.Equal(s.Waiting(), restored.Waiting())
			is.Equal(len(s.dirty), len(restored.dirty))
			for _, id := range []string{"e0", "e1", "e2", "e3"} {
				is.Equal(s.executors[id].used, restored.executors[id].used)
				is.Equal(s.exclusion(s.executors[id], h.now), restored.exclusion(restored.executors[id], h.now.Add(ahead)))
			}
			rep := Report{RequestedAt: h.now}
			for _, r := range s.executors["e1"].runs {
				if r.stage.spec.Gang { // Which members of a gang are stopped after one has vanished follows no order.
					rep.Runs = append(rep.Runs, model.Run{Task: r.stage.taskID(r.index), Number: r.number})
				}
			}
			s.Reported(h.now, "e1", rep)
			rep.RequestedAt = h.now.Add(ahead)
			restored.Reported(h.now.Add(ahead), "e1", rep)
		}
		for id, j := range s.jobs {
			is.Equal(fmt.Sprint(j.progress()), fmt.Sprint(restored.jobs[id].progress()))
		}
	})
}

// A snapshot of another version, a damaged one, or one with a job that the successor doesn't know
// must not be used: the successor reads the records then.
func TestBadSnapshotIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("e0")
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 2, Need: oneCore}), nil)
	starts := f.state.Decide(epoch).Starts
	is.Equal(len(starts), 2)
	data, err := f.state.Snapshot(epoch)
	is.NoErr(err)
	spec := f.state.jobs["j"].spec
	for _, bad := range [][]byte{nil, data[:len(data)/2], {0xa1, 0x01, 0x00}} {
		is.True(New(f.config).Restore(epoch, 0, bad, func(string) *model.Job { return spec }) != nil)
	}
	is.True(New(f.config).Restore(epoch, 0, data, func(string) *model.Job { return nil }) != nil)
	shorter := *spec
	shorter.Steps = []model.Step{{Count: 1, Need: oneCore}}
	is.True(New(f.config).Restore(epoch, 0, data, func(string) *model.Job { return &shorter }) != nil)
	ids, err := SnapshotJobs(data)
	is.NoErr(err)
	slices.SortFunc(ids, cmp.Compare[string])
	is.Equal(ids, []string{"j"})
}

// The owner holds starts back while it takes a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	backlog := newBacklog(350, 9000, false, "urgent", "bulk")
	s, now := backlog.fixture.state, backlog.now
	for b.Loop() {
		data, err := s.Snapshot(now)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	}
}

// The successor starts nothing while it restores one.
func BenchmarkRestore(b *testing.B) {
	backlog := newBacklog(350, 9000, false, "urgent", "bulk")
	s, now := backlog.fixture.state, backlog.now
	data, err := s.Snapshot(now)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := New(backlog.fixture.config).Restore(now, 0, data, func(id string) *model.Job { return s.jobs[id].spec }); err != nil {
			b.Fatal(err)
		}
	}
}

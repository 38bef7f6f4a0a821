package judge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

func at(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }

// eventLog builds the events of endpoints with 4 processors each.
type eventLog struct{ events []engine.Event }

func (l *eventLog) up(names ...string) *eventLog {
	for _, n := range names {
		l.events = append(l.events, engine.Event{Event: engine.Up, Endpoint: n, Time: at(0), Capacity: wire.Needs{CPU: 4000}})
	}
	return l
}

func (l *eventLog) add(kind engine.Kind, s float64, endpoint, task string, attempt uint32, change func(*engine.Event)) *eventLog {
	ev := engine.Event{Event: kind, Time: at(s), Endpoint: endpoint, Task: task, Attempt: attempt,
		Tag: requestOf(task), Team: "shop", Needs: wire.Needs{CPU: 1000}, State: point.Done}
	if change != nil {
		change(&ev)
	}
	l.events = append(l.events, ev)
	return l
}

func (l *eventLog) start(s float64, endpoint, task string, attempt uint32) *eventLog {
	return l.add(engine.Began, s, endpoint, task, attempt, nil)
}

func (l *eventLog) end(s float64, endpoint, task string, attempt uint32) *eventLog {
	return l.add(engine.Ended, s, endpoint, task, attempt, nil)
}

func (l *eventLog) lapse(s float64, endpoint, task string, attempt uint32) *eventLog {
	return l.add(engine.Lapse, s, endpoint, task, attempt, func(ev *engine.Event) { ev.State = point.Lapsed })
}

// call returns a call with the key of team shop, sent at second 1.
func call(tag, outcome string) Call {
	return Call{Tag: tag, Key: "k", Team: "shop", Sent: at(1), Outcome: outcome, Whole: true, Own: true}
}

// Each case either violates one invariant or comes close without violating it.
func TestCheck(t *testing.T) {
	keys := []Key{{Name: "k", Team: "shop"}}
	withdrawn := []Key{{Name: "k", Team: "shop", Withdrawn: at(0)}}
	tests := map[string]struct {
		record Record
		want   Invariant // empty if none is violated
	}{
		"no violation": {record: Record{
			Events: (&eventLog{}).up("a").start(1, "a", "r/0", 1).end(2, "a", "r/0", 1).events,
			Calls:  []Call{call("r", "done")},
		}},
		"moved after its lease": {record: Record{
			Events: (&eventLog{}).up("a", "b").start(1, "a", "r/0", 1).lapse(2, "a", "r/0", 1).start(2, "b", "r/0", 2).end(3, "b", "r/0", 2).events,
			Calls:  []Call{call("r", "done")},
		}},
		"runs twice at once": {want: Single, record: Record{
			Events: (&eventLog{}).up("a", "b").start(1, "a", "r/0", 1).start(1.5, "b", "r/0", 2).lapse(2, "a", "r/0", 1).end(3, "b", "r/0", 2).events,
			Calls:  []Call{call("r", "done")},
		}},
		"runs twice, the first without an end": {want: Single, record: Record{
			Events: (&eventLog{}).up("a", "b").start(1, "a", "r/0", 1).start(5, "b", "r/0", 2).events,
			Calls:  []Call{call("r", "")},
		}},
		"full host": {record: Record{
			Events: (&eventLog{}).up("a").start(1, "a", "r/0", 1).start(1, "a", "r/1", 1).start(1, "a", "r/2", 1).start(1, "a", "r/3", 1).end(2, "a", "r/0", 1).start(2, "a", "r/4", 1).events,
			Calls:  []Call{call("r", "")},
		}},
		"host over capacity": {want: Capacity, record: Record{
			Events: (&eventLog{}).up("a").start(1, "a", "r/0", 1).start(1, "a", "r/1", 1).start(1, "a", "r/2", 1).start(1, "a", "r/3", 1).start(2, "a", "r/4", 1).events,
			Calls:  []Call{call("r", "")},
		}},
		"host rejects a start over capacity": {want: Capacity, record: Record{
			Events: (&eventLog{}).up("a").add(engine.OverCapacity, 1, "a", "r/0", 1, func(ev *engine.Event) { ev.Reason = "granted" }).events,
			Calls:  []Call{call("r", "")},
		}},
		"executor over capacity": {want: Capacity, record: Record{
			Events: append([]engine.Event{{Event: engine.Up, Endpoint: "e", Capacity: wire.Needs{Slots: 1, Conns: 60}}},
				(&eventLog{}).start(1, "e", "r/0", 1).start(1, "e", "r/1", 1).events...),
			Calls: []Call{call("r", "")},
		}},
		"foreign team": {want: Keyed, record: Record{
			Events: (&eventLog{}).up("a").add(engine.Began, 1, "a", "r/0", 1, func(ev *engine.Event) { ev.Team = "other" }).events,
			Calls:  []Call{call("r", "")},
		}},
		"unknown key": {want: Keyed, record: Record{
			Events: (&eventLog{}).up("a").start(1, "a", "r/0", 1).events,
			Calls:  []Call{{Tag: "r", Key: "none", Team: "shop", Sent: at(1)}},
		}},
		"run without a request": {want: Keyed, record: Record{
			Events: (&eventLog{}).up("a").start(1, "a", "r/0", 1).events,
		}},
		"withdrawn key, at once": {record: Record{
			Keys:   withdrawn,
			Events: (&eventLog{}).up("a").start(1, "a", "r/0", 1).events,
			Calls:  []Call{call("r", "")},
		}},
		"withdrawn key, later": {want: Keyed, record: Record{
			Keys:   withdrawn,
			Events: (&eventLog{}).up("a").start(5, "a", "r/0", 1).events,
			Calls:  []Call{{Tag: "r", Key: "k", Team: "shop", Sent: at(4)}},
		}},
		"team at its limit": {record: Record{
			Limits: []Limit{{Team: "shop", Tasks: 1, From: at(0)}},
			Events: (&eventLog{}).up("a").start(4, "a", "r/0", 1).end(5, "a", "r/0", 1).start(5, "a", "r/1", 1).events,
			Calls:  []Call{call("r", "")},
		}},
		"team over its limit": {want: Limited, record: Record{
			Limits: []Limit{{Team: "shop", Tasks: 1, From: at(0)}},
			Events: (&eventLog{}).up("a", "b").start(4, "a", "r/0", 1).start(5, "b", "r/1", 1).events,
			Calls:  []Call{call("r", "")},
		}},
		"limit just lowered": {record: Record{
			Limits: []Limit{{Team: "shop", Tasks: 2, From: at(0)}, {Team: "shop", Tasks: 1, From: at(4)}},
			Events: (&eventLog{}).up("a", "b").start(4, "a", "r/0", 1).start(5, "b", "r/1", 1).events,
			Calls:  []Call{call("r", "")},
		}},
		"limit lowered long ago": {want: Limited, record: Record{
			Limits: []Limit{{Team: "shop", Tasks: 2, From: at(0)}, {Team: "shop", Tasks: 1, From: at(4)}},
			Events: (&eventLog{}).up("a", "b").start(4, "a", "r/0", 1).start(8, "b", "r/1", 1).events,
			Calls:  []Call{call("r", "")},
		}},
		"partial answer": {want: Answered, record: Record{
			Events: (&eventLog{}).up("a").start(1, "a", "r/0", 1).end(2, "a", "r/0", 1).events,
			Calls:  []Call{{Tag: "r", Key: "k", Team: "shop", Sent: at(1), Outcome: "done", Own: true}},
		}},
		"answer no longer kept": {record: Record{
			Events: (&eventLog{}).up("a").start(1, "a", "r/0", 1).end(2, "a", "r/0", 1).events,
			Calls:  []Call{{Tag: "r", Key: "k", Team: "shop", Sent: at(1), Outcome: "done", Gone: true}},
		}},
		"job without an outcome": {want: Answered, record: Record{
			Calls: []Call{{Tag: "r", Key: "k", Team: "shop", Kind: "batch", Sent: at(1), Accepted: true}},
		}},
		"job of a withdrawn key": {record: Record{
			Keys:  withdrawn,
			Calls: []Call{{Tag: "r", Key: "k", Team: "shop", Kind: "batch", Sent: at(1), Accepted: true}},
		}},
		"foreign answer": {want: Answered, record: Record{
			Events: (&eventLog{}).up("a").start(1, "a", "r/0", 1).end(2, "a", "r/0", 1).events,
			Calls:  []Call{{Tag: "r", Key: "k", Team: "shop", Sent: at(1), Outcome: "done", Whole: true}},
		}},
		"done without a run": {want: Answered, record: Record{
			Events: (&eventLog{}).up("a").start(1, "a", "r/0", 1).lapse(2, "a", "r/0", 1).events,
			Calls:  []Call{call("r", "done")},
		}},
		"not run, and it didn't": {record: Record{Calls: []Call{call("r", "notrun")}}},
		"not run, but it did": {want: NotRun, record: Record{
			Events: (&eventLog{}).up("a").start(1, "a", "r/0", 1).end(2, "a", "r/0", 1).events,
			Calls:  []Call{call("r", "notrun")},
		}},
		"non-idempotent request runs twice": {want: Once, record: Record{
			Events: (&eventLog{}).up("a").start(1, "a", "r/0", 1).end(2, "a", "r/0", 1).start(3, "a", "r/0", 2).end(4, "a", "r/0", 2).events,
			Calls:  []Call{{Tag: "r", Key: "k", Team: "shop", Sent: at(1), Once: true, Outcome: "done", Whole: true, Own: true}},
		}},
		"leaving, at once": {record: Record{
			Events: (&eventLog{}).up("a").add(engine.Leave, 1, "a", "", 0, func(ev *engine.Event) { ev.Reason = "on" }).start(2, "a", "r/0", 1).events,
			Calls:  []Call{call("r", "")},
		}},
		"leaving, later": {want: Leaving, record: Record{
			Events: (&eventLog{}).up("a").add(engine.Leave, 1, "a", "", 0, func(ev *engine.Event) { ev.Reason = "on" }).start(3.5, "a", "r/0", 1).events,
			Calls:  []Call{call("r", "")},
		}},
		"killed":         {record: Record{Exits: []Exit{{Process: "entry", Code: -1}}}},
		"stop not clean": {want: Stopped, record: Record{Exits: []Exit{{Process: "entry", Planned: true, Code: 1}}}},
		"version reverted": {want: Config, record: Record{
			Versions: []Version{{Host: "h", Seen: at(1), Version: 3}, {Host: "h", Seen: at(2), Version: 2}},
		}},
		"old version, not confirmed": {record: Record{
			Published: []Published{{Version: 3, Accepted: at(0)}},
			Versions:  []Version{{Host: "h", Seen: at(9), Version: 2}},
		}},
		"old version, confirmed": {want: Config, record: Record{
			Published: []Published{{Version: 3, Accepted: at(0)}},
			Versions:  []Version{{Host: "h", Seen: at(9), Version: 2, Fresh: true}},
		}},
	}
	seen := make(map[Invariant]bool)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := tt.record
			r.End = at(100)
			if r.Keys == nil {
				r.Keys = keys
			}
			found := Check(&r)
			if tt.want == "" {
				is.Equal(found, []Finding{})
				return
			}
			is.Equal(len(found), 1)
			is.Equal(found[0].Invariant, tt.want)
			seen[tt.want] = true
		})
	}
	for _, p := range Invariants() {
		is.New(t).True(seen[p]) // some case violates each invariant
	}
}

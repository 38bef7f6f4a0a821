package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
)

// termState is what an owner hands over to its successor besides its plan. Times are ages, as in
// the plan's snapshot, except those on the store's clock and on executors' clocks.
type termState struct {
	Plan            []byte                   `cbor:"1,keyasint"`
	Sessions        []sessionState           `cbor:"2,keyasint,omitempty"`
	Settle          plan.Age                 `cbor:"3,keyasint,omitempty"` // when the settle time is over
	SettleShortened bool                     `cbor:"4,keyasint,omitempty"`
	OutageEnd       plan.Age                 `cbor:"5,keyasint,omitempty"`
	EntryChange     plan.Age                 `cbor:"6,keyasint,omitempty"`
	LeaseEnds       map[string]time.Duration `cbor:"7,keyasint,omitempty"` // in store time
	RecordedEnds    map[string]time.Duration `cbor:"8,keyasint,omitempty"` // of leases, in store time
	EarlierEnds     map[string]plan.Age      `cbor:"9,keyasint,omitempty"` // of leases of executors that an earlier owner had closed
	Used            []usedState              `cbor:"10,keyasint,omitempty"`
	Leaving         map[string]int           `cbor:"11,keyasint,omitempty"` // used executors that were removed, as in usedExecutors
	Phases          map[string]model.Phase   `cbor:"12,keyasint,omitempty"` // final ones that were recorded
	EndsSent        []string                 `cbor:"13,keyasint,omitempty"` // jobs whose end may be recorded
	Untrimmed       []string                 `cbor:"14,keyasint,omitempty"` // jobs whose submissions aren't deleted yet
	Undeleted       []string                 `cbor:"15,keyasint,omitempty"` // jobs whose progress rows aren't certainly deleted
	Expiring        []string                 `cbor:"16,keyasint,omitempty"` // jobs whose phase rows may be deleted
}

// sessionState is a session in a termState.
type sessionState struct {
	Info         model.Executor `cbor:"1,keyasint"`
	Born         time.Time      `cbor:"2,keyasint,omitempty"`
	Clock        time.Duration  `cbor:"3,keyasint,omitempty"` // last reading
	ClockRead    plan.Age       `cbor:"4,keyasint,omitempty"`
	LatestEnd    time.Duration  `cbor:"5,keyasint,omitempty"`
	HasEntry     bool           `cbor:"6,keyasint,omitempty"`
	Unlisted     plan.Age       `cbor:"7,keyasint,omitempty"`
	Unreadable   plan.Age       `cbor:"8,keyasint,omitempty"`
	Retired      bool           `cbor:"9,keyasint,omitempty"`
	Outdated     bool           `cbor:"10,keyasint,omitempty"`
	Silent       bool           `cbor:"11,keyasint,omitempty"`
	Lapsed       bool           `cbor:"12,keyasint,omitempty"`
	HasReported  bool           `cbor:"13,keyasint,omitempty"`
	Doubt        plan.Age       `cbor:"14,keyasint,omitempty"`
	ReportClock  time.Duration  `cbor:"15,keyasint,omitempty"`
	LastResponse time.Duration  `cbor:"16,keyasint,omitempty"` // its age, 0 for none
	Taken        int64          `cbor:"17,keyasint,omitempty"`
	Recorded     int64          `cbor:"18,keyasint,omitempty"`
	Acked        int64          `cbor:"19,keyasint,omitempty"`
}

// usedState is a row of used executors in a termState.
type usedState struct {
	Number    int                           `cbor:"1,keyasint,omitempty"`
	Executors map[string]board.UsedExecutor `cbor:"2,keyasint,omitempty"`
	Unstored  []string                      `cbor:"3,keyasint,omitempty"` // executors that the stored row may lack
	Differs   bool                          `cbor:"4,keyasint,omitempty"`
}

// snapshot encodes the term's state. The recorder calls it between two writes.
func (r *recorder) snapshot() ([]byte, error) {
	t := r.term
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.owner.clock.Now()
	data, err := t.plan.Snapshot(now)
	if err != nil {
		return nil, err
	}
	f := termState{
		Plan: data, Settle: plan.AgeOf(t.began.Add(t.settleTime), now), SettleShortened: t.settleShortened, OutageEnd: plan.AgeOf(t.lastOutageEnd, now), EntryChange: plan.AgeOf(t.lastEntryChange, now),
		LeaseEnds: t.leaseEndStoreTime, RecordedEnds: t.recordedLeaseEnds, EarlierEnds: make(map[string]plan.Age), Leaving: t.used.leaving, Phases: t.recordedEnds,
		EndsSent: slices.Collect(maps.Keys(t.endsSent)), Untrimmed: t.untrimmed, Undeleted: r.undeleted, Expiring: slices.Collect(maps.Keys(r.expiring)),
	}
	for id, at := range t.leaseEndHostTime {
		f.EarlierEnds[id] = plan.AgeOf(at, now)
	}
	for number, row := range t.used.rows {
		u := usedState{Number: number, Executors: row.executors, Differs: row.differs}
		for id := range row.executors {
			if _, ok := t.used.stored[id]; !ok {
				u.Unstored = append(u.Unstored, id)
			}
		}
		f.Used = append(f.Used, u)
	}
	for _, sess := range t.sessions {
		f.Sessions = append(f.Sessions, sess.state(now))
	}
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(&f)
}

// state returns the session's state. The term's mu is held.
func (sess *session) state(now time.Time) sessionState {
	f := sessionState{
		Info: sess.info, Born: sess.born, Clock: sess.lease.clock, ClockRead: plan.AgeOf(sess.lease.clockReadAt, now), LatestEnd: sess.lease.latestEnd, HasEntry: sess.hasEntry,
		Unlisted: plan.AgeOf(sess.unlistedSince, now), Unreadable: plan.AgeOf(sess.unreadable, now), Retired: sess.retired, Outdated: sess.outdated, Silent: sess.silent, Lapsed: sess.lapsed,
		HasReported: sess.hasReported, Doubt: plan.AgeOf(sess.doubtUntil, now), ReportClock: sess.reportClock, Taken: sess.takenSeq, Recorded: sess.recordedSeq, Acked: sess.ackedSeq,
	}
	if sess.lastResponse > 0 {
		f.LastResponse = sess.term.owner.clock.Boot() - sess.lastResponse
	}
	return f
}

// restore brings the term into the state of its predecessor, which this host received at the given
// local and boot time, when it was at most age old. After an error nothing of it has taken effect but the plan, which must not
// be used. The term's mu is held.
func (t *term) restore(f *termState, jobs map[string]*model.Job, at time.Time, atBoot, age time.Duration) error {
	if err := t.plan.Restore(at, age, f.Plan, func(id string) *model.Job { return jobs[id] }); err != nil {
		return err
	}
	t.settleTime, t.settleShortened = f.Settle.At(at).Sub(t.began), f.SettleShortened
	t.lastOutageEnd, t.lastEntryChange = f.OutageEnd.At(at), f.EntryChange.At(at)
	maps.Copy(t.leaseEndStoreTime, f.LeaseEnds)
	maps.Copy(t.recordedLeaseEnds, f.RecordedEnds)
	for id, end := range f.EarlierEnds {
		t.leaseEndHostTime[id] = end.At(at)
	}
	for _, u := range f.Used {
		t.used.restore(u.Number, u.Executors)
		t.used.rows[u.Number].differs = u.Differs
		for _, id := range u.Unstored {
			delete(t.used.stored, id)
		}
	}
	maps.Copy(t.used.leaving, f.Leaving)
	maps.Copy(t.recordedEnds, f.Phases)
	for _, id := range f.EndsSent {
		t.endsSent[id] = true
	}
	t.untrimmed = f.Untrimmed
	now := t.owner.clock.Now()
	for i := range f.Sessions {
		t.restoreSession(&f.Sessions[i], at, atBoot, now)
	}
	return nil
}

// restoreSession opens a session for an executor that the last owner had one for. That owner may
// have extended the executor's leases until this host took over. The term's mu is held.
func (t *term) restoreSession(f *sessionState, at time.Time, atBoot time.Duration, now time.Time) {
	sess := newSession(t, f.Info)
	sess.born, sess.hasEntry, sess.unlistedSince, sess.unreadable = f.Born, f.HasEntry, f.Unlisted.At(at), f.Unreadable.At(at)
	sess.retired, sess.outdated, sess.silent, sess.lapsed, sess.hasReported = f.Retired, f.Outdated, f.Silent, f.Lapsed, f.HasReported
	sess.doubtUntil, sess.reportClock = f.Doubt.At(at), f.ReportClock
	sess.takenSeq, sess.recordedSeq, sess.ackedSeq = f.Taken, f.Recorded, f.Acked
	if f.LastResponse > 0 {
		sess.lastResponse = max(0, atBoot-f.LastResponse)
	}
	sess.lease = lease{clock: f.Clock, clockReadAt: f.ClockRead.At(at), latestEnd: f.LatestEnd}
	if sess.lease.known() && !sess.silent {
		sinceRead := time.Duration(float64(now.Sub(sess.lease.clockReadAt)) / minClockRate)
		sess.lease.latestEnd = max(sess.lease.latestEnd, sess.lease.clock+sinceRead+t.bounds.Lease+settleMargin)
	}
	t.sessions[f.Info.ID] = sess
}

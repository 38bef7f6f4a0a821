package owner

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/plan"
)

const (
	stateVerbPut = "state.put"
	// stateVersion is the version of termState. A host refuses a state of another version.
	stateVersion = 1
	// maxStateSize bounds an encoded state in bytes: one item of a stream holds 4 MiB.
	maxStateSize = 3 << 20
	// stateValidity is how long a received state is kept for the offer of ownership, which follows after
	// one write to the store.
	stateValidity = 5 * time.Second
	// maxCopyAge is how old this host's copies of the board and the submissions may be when it takes a state. In an
	// outage of the store no host can read them, and a state is all that a successor needs. Older copies could show a
	// job whose end the sender has forgotten, as it does 30 s after its rows are deleted at the earliest.
	maxCopyAge = 10 * time.Second
	// unknownStateAge is the age of a state whose sender doesn't tell it. No ticket is valid for that
	// long, and the answers of the adviser still tell which executors are allowed.
	unknownStateAge = 24 * time.Hour
)

// statePut hands over the state of an owner.
type statePut struct {
	Version int    `cbor:"1,keyasint"` // of the format
	Epoch   int64  `cbor:"2,keyasint"` // of the sender
	Process string `cbor:"3,keyasint"` // of the sender
	Row     int64  `cbor:"4,keyasint"` // version of the owner's row
	ID      string `cbor:"5,keyasint"` // of the state, unique in the epoch
	Data    []byte `cbor:"6,keyasint"` // a termState
}

// stateReply answers a statePut, and the stateJobs that follow if the receiver lacks some.
type stateReply struct {
	Refused string   `cbor:"1,keyasint,omitempty"` // why the state isn't held, empty if it is or may be
	Lacking []string `cbor:"2,keyasint,omitempty"` // jobs whose specifications the receiver lacks
}

// stateJobs has the specifications of the jobs that the receiver lacks.
type stateJobs struct {
	Jobs []*model.Job `cbor:"1,keyasint"`
}

// heldState is a state that this host has received and may use once.
type heldState struct {
	epoch  int64
	id     string
	size   int
	state  termState
	jobs   map[string]*model.Job // specifications of all jobs of the plan
	at     time.Time
	atBoot time.Duration
	heldAt time.Duration // boot time before the sender was told that it is held
	age    time.Duration // bounds from above how old it was at the receipt
}

// serveStatePut receives the state of an owner that is about to resign.
func (o *Owner) serveStatePut(_ context.Context, s *link.Stream) error {
	var p statePut
	if err := s.Recv(&p); err != nil {
		return err
	}
	at, atBoot := o.clock.Now(), o.clock.Boot()
	if why := o.refusesState(&p); why != "" {
		return s.Send(&stateReply{Refused: why})
	}
	held := &heldState{epoch: p.Epoch, id: p.ID, size: len(p.Data), jobs: make(map[string]*model.Job), at: at, atBoot: atBoot}
	if cbor.Unmarshal(p.Data, &held.state) != nil {
		return s.Send(&stateReply{Refused: "damaged"})
	}
	ids, err := plan.SnapshotJobs(held.state.Plan)
	if err != nil {
		return s.Send(&stateReply{Refused: err.Error()})
	}
	lacking := o.findJobs(ids, held.jobs)
	if len(lacking) > 0 {
		if err := s.Send(&stateReply{Lacking: lacking}); err != nil {
			return err
		}
		var rest stateJobs
		if err := s.Recv(&rest); err != nil {
			return err
		}
		for _, j := range rest.Jobs {
			if j != nil && j.Check() == nil {
				held.jobs[j.ID] = j
			}
		}
		if still := missing(ids, held.jobs); len(still) > 0 {
			return s.Send(&stateReply{Refused: "jobs are missing"})
		}
	}
	if !o.hold(held) {
		return s.Send(&stateReply{Refused: "stopping"})
	}
	o.logger.Info("state received", zap.String("from", s.From()), zap.Int64("epoch", p.Epoch), zap.Int("bytes", len(p.Data)), zap.Int("jobs", len(ids)),
		zap.Int("lacking", len(lacking)), zap.Int("executors", len(held.state.Sessions)))
	return s.Send(&stateReply{})
}

// refusesState returns why this host can't take a state, empty if it can.
func (o *Owner) refusesState(p *statePut) string {
	row, _ := o.board.Owner()
	switch {
	case o.stopping.Load():
		return "stopping"
	case p.Version != stateVersion:
		return "format"
	case len(p.Data) > maxStateSize:
		return "size"
	case o.currentTerm() != nil || row.Epoch > p.Epoch:
		return "another owner"
	case !o.hasRecentCopies():
		return "submissions"
	}
	return ""
}

// hasRecentCopies reports whether this host's copies of the board and the submissions were complete within
// maxCopyAge.
func (o *Owner) hasRecentCopies() bool {
	at := time.Duration(o.preparedAt.Load())
	return at > 0 && o.clock.Boot()-at <= maxCopyAge
}

// findJobs adds the specifications that this host has to jobs, and returns the IDs of the others.
func (o *Owner) findJobs(ids []string, jobs map[string]*model.Job) []string {
	c := o.submissionRows.Load()
	for _, id := range ids {
		if c != nil {
			if j := c.Job(id); j != nil {
				jobs[id] = j
				continue
			}
		}
		if e, ok := o.board.Job(id); ok && e.Job != nil {
			jobs[id] = e.Job
		}
	}
	return missing(ids, jobs)
}

// missing returns the IDs of which there are no jobs.
func missing(ids []string, jobs map[string]*model.Job) []string {
	var out []string
	for _, id := range ids {
		if jobs[id] == nil {
			out = append(out, id)
		}
	}
	return out
}

// hold keeps a state in place of an earlier one, unless this host stops.
func (o *Owner) hold(s *heldState) bool {
	if o.stopping.Load() {
		return false
	}
	s.heldAt = o.clock.Boot()
	o.mu.Lock()
	before := o.held
	o.held = s
	o.mu.Unlock()
	if before != nil {
		o.dropState(before, "another state was received")
	}
	return true
}

// takeState returns the state that an offer names, nil if there is none, and keeps none.
func (o *Owner) takeState(h *handover) *heldState {
	o.mu.Lock()
	s := o.held
	o.held = nil
	o.mu.Unlock()
	if s == nil {
		return nil
	}
	if s.epoch != h.Row.Epoch || s.id != h.State {
		o.dropState(s, "the offer names another state")
		return nil
	}
	if o.clock.Boot()-s.atBoot > stateValidity {
		o.dropState(s, "the offer came late")
		return nil
	}
	s.age = s.ageAtReceipt(h.StateAge)
	return s
}

// ageAtReceipt returns how old the state was when it was received, at most, from its age when the sender
// knew that it is held, 0 if that isn't known. That was after heldAt, however long messages took.
func (s *heldState) ageAtReceipt(known time.Duration) time.Duration {
	if known <= 0 {
		return unknownStateAge
	}
	return max(0, time.Duration(float64(known)/minClockRate)-(s.heldAt-s.atBoot))
}

// expireState drops a state for which no offer has come.
func (o *Owner) expireState() {
	o.mu.Lock()
	s := o.held
	if s == nil || o.clock.Boot()-s.atBoot <= stateValidity {
		o.mu.Unlock()
		return
	}
	o.held = nil
	o.mu.Unlock()
	o.dropState(s, "no offer came")
}

// dropState counts and logs a state that isn't used.
func (o *Owner) dropState(s *heldState, cause string) {
	o.metrics.handoverDropped.Inc(1)
	o.logger.Info("state dropped", zap.Int64("epoch", s.epoch), zap.String("cause", cause))
}

// useState begins the term with the state of the last owner. It returns false if that can't be used; the
// term then reads the records. It is called before anything of the term runs.
func (t *term) useState(r *recorder, s *heldState) bool {
	o := t.owner
	if s == nil {
		return false
	}
	if s.epoch+1 != t.epoch {
		o.dropState(s, "of another epoch")
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if id := t.strangeJob(s); id != "" {
		o.dropState(s, "it lacks job "+id)
		return false
	}
	if err := t.restore(&s.state, s.jobs, s.at, s.atBoot, s.age); err != nil {
		o.dropState(s, err.Error())
		return false
	}
	r.undeleted, r.expiring = s.state.Undeleted, make(map[string]bool, len(s.state.Expiring))
	for _, id := range s.state.Expiring {
		r.expiring[id] = true
	}
	jobs, cancelled := o.board.Listen(t)
	jobs = append(jobs, o.submissions.rows.Listen(t)...)
	now := o.clock.Now()
	for _, a := range submissionsInOrder(o.board.Accepted(), jobs) {
		if a.Job == nil {
			continue // Its team's quota was charged by the last owner.
		}
		if e, _ := o.board.Job(a.Job.ID); !e.Phase.Final() {
			t.plan.AddJob(now, a.Job, nil) // The last owner didn't know it, so that it has no runs.
		}
	}
	for _, id := range cancelled {
		t.plan.Cancel(now, id)
	}
	t.OwnerChanged(o.board.Owner()) // It may show a later owner already.
	o.metrics.handoverTaken.Inc(1)
	o.logger.Info("state taken over", zap.Int64("epoch", t.epoch), zap.Int("jobs", t.plan.Jobs()), zap.Int("executors", len(t.sessions)), zap.Int("bytes", s.size), zap.Duration("age", o.clock.Boot()-s.atBoot))
	return true
}

// strangeJob returns a job that runs by its recorded phase and that the state lacks, or an empty string. There
// is none unless the state is wrong. The term's mu is held.
func (t *term) strangeJob(s *heldState) string {
	for id := range t.owner.board.Accepted() {
		if e, ok := t.owner.board.Job(id); ok && e.Phase == model.Running && s.jobs[id] == nil {
			if _, ended := s.state.Phases[id]; !ended {
				return id
			}
		}
	}
	return ""
}

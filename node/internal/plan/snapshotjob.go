package plan

import (
	"maps"
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// jobFormat is a job in a snapshot, without its specification.
type jobFormat struct {
	ID        string          `cbor:"1,keyasint"`
	Inherited bool            `cbor:"2,keyasint,omitempty"`
	Phase     model.Phase     `cbor:"3,keyasint,omitempty"`
	Recorded  model.Phase     `cbor:"4,keyasint,omitempty"`
	Next      int             `cbor:"5,keyasint,omitempty"`
	Ahead     []int           `cbor:"6,keyasint,omitempty"`
	Delay     []time.Duration `cbor:"7,keyasint,omitempty"` // limit, room, advice
	OverQuota bool            `cbor:"8,keyasint,omitempty"`
	Version   int             `cbor:"9,keyasint,omitempty"`
	Dirty     bool            `cbor:"10,keyasint,omitempty"`
	Queue     *model.Queue    `cbor:"11,keyasint,omitempty"` // its settings if the configuration lacks them
	Occurs    []occurFormat   `cbor:"12,keyasint,omitempty"`
}

// occurFormat is an occurrence. Stages without a difference to a new one are left out.
type occurFormat struct {
	Number int           `cbor:"1,keyasint,omitempty"`
	Stages []stageFormat `cbor:"2,keyasint,omitempty"`
}

// stageFormat is a stage. Tasks without a difference to a new one are left out.
type stageFormat struct {
	Index      int           `cbor:"1,keyasint,omitempty"`
	Ready      Age           `cbor:"2,keyasint,omitempty"`
	Logged     Age           `cbor:"3,keyasint,omitempty"`
	FailedOn   []string      `cbor:"4,keyasint,omitempty"`
	SlowOn     []string      `cbor:"5,keyasint,omitempty"`
	RunTime    time.Duration `cbor:"6,keyasint,omitempty"`
	TimedRuns  int           `cbor:"7,keyasint,omitempty"`
	Blocked    Age           `cbor:"8,keyasint,omitempty"`
	BlockCause blockCause    `cbor:"9,keyasint,omitempty"`
	Tasks      []taskFormat  `cbor:"10,keyasint,omitempty"`
}

// taskFormat is a task.
type taskFormat struct {
	Index      int         `cbor:"1,keyasint,omitempty"`
	Done       bool        `cbor:"2,keyasint,omitempty"`
	LastNumber int         `cbor:"3,keyasint,omitempty"`
	Failed     []int       `cbor:"4,keyasint,omitempty"`
	Stalls     int         `cbor:"5,keyasint,omitempty"`
	Checkpoint string      `cbor:"6,keyasint,omitempty"`
	Runs       []runFormat `cbor:"7,keyasint,omitempty"`
	Saved      Age         `cbor:"8,keyasint,omitempty"` // when the checkpoint was first known
	Moves      int         `cbor:"9,keyasint,omitempty"`
	Moved      Age         `cbor:"10,keyasint,omitempty"` // the last time
}

func (s *State) jobFormat(j *job, now time.Time) jobFormat {
	f := jobFormat{
		ID: j.spec.ID, Inherited: j.inherited, Phase: j.phase, Recorded: j.recorded, Next: j.next, Ahead: slices.Collect(maps.Keys(j.ahead)),
		OverQuota: j.overQuota, Version: j.version, Dirty: s.dirty[j.spec.ID] != nil,
	}
	if j.delay != (Delay{}) {
		f.Delay = []time.Duration{j.delay.Limit, j.delay.Room, j.delay.Advice}
	}
	if !s.hasQueue(j) {
		f.Queue = &j.queue
	}
	for k, o := range j.occurs {
		of := occurFormat{Number: k}
		for _, st := range o.stages {
			if sf, changed := st.format(now); changed {
				of.Stages = append(of.Stages, sf)
			}
		}
		f.Occurs = append(f.Occurs, of)
	}
	return f
}

// format returns the stage's format, and false if it is as a new one.
func (st *stage) format(now time.Time) (stageFormat, bool) {
	f := stageFormat{
		Index: st.index, Ready: AgeOf(st.readySince, now), Logged: AgeOf(st.lastLogged, now), FailedOn: slices.Collect(maps.Keys(st.failedOn)), SlowOn: slices.Collect(maps.Keys(st.slowOn)),
		RunTime: st.totalRunTime, TimedRuns: st.timedRuns, Blocked: AgeOf(st.lastBlocked, now), BlockCause: st.blockCause,
	}
	for i := range st.tasks {
		t := &st.tasks[i]
		tf := taskFormat{Index: i, Done: t.done, LastNumber: t.lastNumber, Failed: t.failedRuns, Stalls: t.stalls, Checkpoint: t.checkpoint}
		if h := t.history; h != nil {
			tf.Saved, tf.Moves, tf.Moved = AgeOf(h.savedAt, now), h.moves, AgeOf(h.movedAt, now)
		}
		if t.run != nil {
			tf.Runs = append(tf.Runs, t.run.format(now))
		}
		for _, r := range t.unwanted {
			tf.Runs = append(tf.Runs, r.format(now))
		}
		if t.done || t.lastNumber > 0 || len(t.failedRuns) > 0 || t.checkpoint != "" || len(tf.Runs) > 0 {
			f.Tasks = append(f.Tasks, tf)
		}
	}
	return f, len(f.Tasks) > 0 || f.Ready != 0 || f.TimedRuns > 0 || len(f.FailedOn) > 0
}

// hasQueue reports whether the configuration has the job's queue.
func (s *State) hasQueue(j *job) bool {
	if s.config == nil {
		return false
	}
	_, ok := s.config.Queues[j.spec.Queue]
	return ok
}

// delayCauses is the number of causes in a Delay.
const delayCauses = 3

// restoreJob adds a job of a snapshot.
func (s *State) restoreJob(f *jobFormat, spec *model.Job, now time.Time) error {
	switch {
	case spec == nil || spec.ID != f.ID:
		return &SnapshotError{Reason: "no specification of job " + f.ID}
	case f.Phase.Check() != nil || f.Recorded.Check() != nil || f.Next < 0 || f.Next > spec.Occurrences() || s.jobs[f.ID] != nil:
		return &SnapshotError{Reason: "damaged record of job " + f.ID}
	}
	j := &job{
		spec: spec, team: s.team(spec.Team), inherited: f.Inherited, phase: f.Phase, recorded: f.Recorded, occurs: make(map[int]*occurrence), next: f.Next, ahead: make(map[int]bool),
		overQuota: f.OverQuota, version: f.Version,
	}
	j.criticalPath, j.occurSize = criticalPath(spec.Steps), spec.OccurrenceSize()
	if len(f.Delay) == delayCauses {
		j.delay = Delay{Limit: f.Delay[0], Room: f.Delay[1], Advice: f.Delay[2]}
	}
	switch {
	case f.Queue != nil:
		j.queue = *f.Queue
		j.queue.Name = spec.Queue
	case spec.Terms != nil:
		j.queue = spec.Terms.Queue
		j.queue.Name = spec.Queue
	}
	j.updateQueue(s.config)
	s.order.addJob(j)
	for _, k := range f.Ahead {
		j.ahead[k] = true
	}
	s.noteSize(j)
	s.jobs[f.ID] = j
	for i := range f.Occurs {
		if err := s.restoreOccur(j, &f.Occurs[i], now); err != nil {
			return err
		}
	}
	j.version = f.Version
	delete(s.dirty, f.ID)
	if f.Dirty {
		s.dirty[f.ID] = j
	}
	return nil
}

// restoreOccur adds an occurrence of a snapshot to a job.
func (s *State) restoreOccur(j *job, f *occurFormat, now time.Time) error {
	if f.Number < 0 || f.Number >= j.spec.Occurrences() || j.occurs[f.Number] != nil {
		return &SnapshotError{Reason: "damaged occurrence of job " + j.spec.ID}
	}
	o := j.begin(f.Number)
	for i := range f.Stages {
		sf := &f.Stages[i]
		if sf.Index < 0 || sf.Index >= len(o.stages) {
			return &SnapshotError{Reason: "damaged step of job " + j.spec.ID}
		}
		if err := s.restoreStageOf(o.stages[sf.Index], sf, now); err != nil {
			return err
		}
	}
	return nil
}

// restoreStageOf restores a new stage from a snapshot.
func (s *State) restoreStageOf(st *stage, f *stageFormat, now time.Time) error {
	st.readySince, st.lastLogged, st.lastBlocked, st.blockCause = f.Ready.At(now), f.Logged.At(now), f.Blocked.At(now), f.BlockCause
	st.totalRunTime, st.timedRuns = f.RunTime, f.TimedRuns
	if len(f.FailedOn) > 0 {
		st.failedOn = set(f.FailedOn)
	}
	if len(f.SlowOn) > 0 {
		st.slowOn = set(f.SlowOn)
	}
	for i := range f.Tasks {
		tf := &f.Tasks[i]
		if tf.Index < 0 || tf.Index >= len(st.tasks) || tf.Moves < 0 {
			return &SnapshotError{Reason: "damaged task of job " + st.occur.job.spec.ID}
		}
		t := &st.tasks[tf.Index]
		for _, n := range tf.Failed {
			st.addFailure(tf.Index, n)
		}
		if tf.Done {
			st.finishTask(tf.Index)
		}
		for n := range tf.Runs {
			if err := s.restoreRun(st, tf.Index, &tf.Runs[n], now); err != nil {
				return err
			}
		}
		t.lastNumber, t.stalls, t.checkpoint = max(t.lastNumber, tf.LastNumber), tf.Stalls, tf.Checkpoint
		if tf.Saved != 0 || tf.Moves > 0 {
			t.history = &taskHistory{savedAt: tf.Saved.At(now), moves: tf.Moves, movedAt: tf.Moved.At(now)}
		}
	}
	return nil
}

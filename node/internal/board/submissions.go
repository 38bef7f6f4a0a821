package board

import (
	"maps"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/platform"
)

// JobListener receives accepted jobs. Its method must not block.
type JobListener interface {
	JobAccepted(j *model.Job)
}

// Submissions is a host's in-memory copy of the table Submitted: the specifications of
// the jobs that haven't ended. Only the owner and its possible successors keep one, since
// submissions are many times as large as the rows of the board. It may be used
// concurrently; it implements follow.Handler.
type Submissions struct {
	logger *zap.Logger

	mu       sync.Mutex // guards the fields below
	jobs     map[string]*model.Job
	listener JobListener // nil for none
}

// NewSubmissions returns empty Submissions.
func NewSubmissions(logger *zap.Logger) *Submissions {
	return &Submissions{logger: logger, jobs: make(map[string]*model.Job)}
}

// Listen sets the listener for later submissions, nil for none, and returns the present
// jobs.
func (s *Submissions) Listen(l JobListener) []*model.Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = l
	out := make([]*model.Job, 0, len(s.jobs))
	for _, j := range s.jobs {
		out = append(out, j)
	}
	return out
}

// Job returns the submission of a job, nil if it isn't known.
func (s *Submissions) Job(id string) *model.Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id]
}

// Reset implements follow.Handler. It replaces the jobs at once, so that a host that takes over
// meanwhile never reads a part of them.
func (s *Submissions) Reset(rows []platform.Row) {
	fresh := NewSubmissions(s.logger)
	fresh.Change(rows)
	s.mu.Lock()
	s.jobs = fresh.jobs
	l := s.listener
	jobs := slices.Collect(maps.Values(fresh.jobs))
	s.mu.Unlock()
	if l == nil {
		return
	}
	for _, j := range jobs {
		l.JobAccepted(j)
	}
}

// Change implements follow.Handler.
func (s *Submissions) Change(rows []platform.Row) {
	for _, row := range rows {
		if err := s.apply(row); err != nil {
			s.logger.Warn("submission row ignored", zap.String("key", row.Key), zap.Error(err))
		}
	}
}

// apply updates the jobs from one changed row. A job with rows in two partitions is
// dropped with the first deletion, since both rows are always deleted.
func (s *Submissions) apply(row platform.Row) error {
	if row.Key == ClaimKey {
		return nil
	}
	var j *model.Job
	if !row.Deleted {
		j = &model.Job{}
		if err := Decode(row, j); err != nil {
			return err
		}
	}
	s.mu.Lock()
	l := s.listener
	if j == nil {
		delete(s.jobs, row.Key)
	} else {
		s.jobs[row.Key] = j
	}
	s.mu.Unlock()
	if l != nil && j != nil {
		l.JobAccepted(j)
	}
	return nil
}

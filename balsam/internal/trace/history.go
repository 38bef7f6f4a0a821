package trace

import (
	"bufio"
	"io"
	"slices"
	"time"
)

// maxLineBytes is the longest log line that Read accepts.
const maxLineBytes = 1 << 20

// ownerMessages are the log messages about the ownership of the cell.
var ownerMessages = [...]string{"ownership taken", "ownership ended", "ownership offered", "owner probed", "starts", "records read"}

// History collects the log lines of one job and the ownership changes of the cell. It
// must not be used concurrently.
type History struct {
	id          string
	job         []Line
	owners      []Line              // with one of ownerMessages
	lastByEpoch map[int64]time.Time // by epoch: time of its latest line, except "owner probed"
}

// New returns an empty History of the job with that id.
func New(id string) *History { return &History{id: id, lastByEpoch: make(map[int64]time.Time)} }

// Read adds the lines of one log. Lines that aren't balsamford's are skipped. It returns
// the error of r, or bufio.ErrTooLong for a line that is too long.
func (h *History) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		l, ok := parse(s.Bytes())
		if !ok {
			continue
		}
		if e := l.intField("epoch"); e > 0 && l.Text != "owner probed" && l.Time.After(h.lastByEpoch[e]) {
			h.lastByEpoch[e] = l.Time
		}
		switch {
		case l.concerns(h.id):
			h.job = append(h.job, l)
		case slices.Contains(ownerMessages[:], l.Text):
			h.owners = append(h.owners, l)
		}
	}
	return s.Err()
}

// Known reports whether any line read so far is about the job.
func (h *History) Known() bool { return len(h.job) > 0 }

// Lines returns the job's lines, together with the lines about ownership between the
// first and the last of them, sorted by time.
func (h *History) Lines() []Line {
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(h.job, byTime)
	if len(h.job) == 0 {
		return nil
	}
	from, to := h.job[0].Time, h.job[len(h.job)-1].Time
	out := slices.Clone(h.job)
	for _, l := range h.owners {
		if !l.Time.Before(from) && !l.Time.After(to) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, byTime)
	return out
}

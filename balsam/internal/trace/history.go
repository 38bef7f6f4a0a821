package trace

import (
	"bufio"
	"io"
	"slices"
	"time"
)

// maxLine bounds a line of a log in bytes.
const maxLine = 1 << 20

// ownerTexts are the lines that tell of the cell's owner.
var ownerTexts = [...]string{"ownership taken", "ownership ended", "ownership offered", "owner probed", "starts", "records read"}

// History is what logs say of one job.
type History struct {
	id     string
	job    []Line
	owners []Line
	last   map[int64]time.Time // line by epoch, of any kind
}

// New returns an empty History of a job.
func New(id string) *History { return &History{id: id, last: make(map[int64]time.Time)} }

// Read takes the lines of one log. Those that aren't ours are passed over.
func (h *History) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		l, ok := parse(s.Bytes())
		if !ok {
			continue
		}
		if e := l.number("epoch"); e > 0 && l.Text != "owner probed" && l.Time.After(h.last[e]) {
			h.last[e] = l.Time
		}
		switch {
		case l.concerns(h.id):
			h.job = append(h.job, l)
		case slices.Contains(ownerTexts[:], l.Text):
			h.owners = append(h.owners, l)
		}
	}
	return s.Err()
}

// Known reports whether the logs say anything of the job.
func (h *History) Known() bool { return len(h.job) > 0 }

// Lines returns the lines of the job and those of the cell's owner from its first to
// its last one, in order.
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

package trace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one line of a log.
type Line struct {
	Time   time.Time      `json:"time"`
	Host   string         `json:"host"`
	Text   string         `json:"text"`
	Fields map[string]any `json:"fields,omitempty"` // but for the above, level, role and zone
}

// parse reads a line. What stands before the object is left out, so that lines may
// come with the prefix of whatever collected them. It returns false for a line that
// isn't one of ours.
func parse(data []byte) (Line, bool) {
	i := bytes.IndexByte(data, '{')
	if i < 0 {
		return Line{}, false
	}
	var l Line
	if json.Unmarshal(data[i:], &l) != nil || l.Text == "" || l.Time.IsZero() {
		return Line{}, false
	}
	if json.Unmarshal(data[i:], &l.Fields) != nil {
		return Line{}, false
	}
	for _, name := range []string{"time", "host", "text", "level", "role", "zone"} {
		delete(l.Fields, name)
	}
	return l, true
}

// concerns reports whether the line is about a job.
func (l *Line) concerns(id string) bool { return l.word("id") == id || l.word("job") == id }

// word returns a field that is a text, empty if there is none.
func (l *Line) word(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// number returns a field that is a number, 0 if there is none.
func (l *Line) number(name string) int64 {
	f, _ := l.Fields[name].(float64)
	return int64(f)
}

// duration returns a field that is a duration, 0 if there is none.
func (l *Line) duration(name string) time.Duration {
	d, err := time.ParseDuration(l.word(name))
	if err != nil {
		return 0 // There is none, or it is no duration.
	}
	return d
}

// Details returns the fields in the order of their names, but for the job's id.
func (l *Line) Details() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != "id" && name != "job" {
			out = append(out, fmt.Sprintf("%s=%v", name, l.Fields[name]))
		}
	}
	return strings.Join(out, " ")
}

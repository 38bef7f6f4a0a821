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

// Line is one JSON line of a host's log.
type Line struct {
	Time   time.Time      `json:"time"`
	Host   string         `json:"host"`
	Text   string         `json:"text"`
	Fields map[string]any `json:"fields,omitempty"` // all fields except the above, level, role and zone
}

// parse decodes a line. It ignores text before the JSON object, since log collectors
// add prefixes. It returns false for a line without a time or a message, which isn't
// balsamford's.
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

// concerns reports whether the line is about the job with that id.
func (l *Line) concerns(id string) bool {
	return l.stringField("id") == id || l.stringField("job") == id
}

// stringField returns the field's value, or "" if it is missing or not a string.
func (l *Line) stringField(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// intField returns the field's value, or 0 if it is missing or not a number.
func (l *Line) intField(name string) int64 {
	f, _ := l.Fields[name].(float64)
	return int64(f)
}

// durationField returns the field as a duration, or 0 if it is missing or not one.
func (l *Line) durationField(name string) time.Duration {
	d, err := time.ParseDuration(l.stringField(name))
	if err != nil {
		return 0
	}
	return d
}

// Details formats the fields as "name=value", sorted by name, without the job's id.
func (l *Line) Details() string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name != "id" && name != "job" {
			out = append(out, fmt.Sprintf("%s=%v", name, l.Fields[name]))
		}
	}
	return strings.Join(out, " ")
}

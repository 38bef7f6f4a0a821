package config

import (
	"strconv"
	"strings"
)

// Fault is an error in a set of objects, or a warning about it.
type Fault struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"` // 1-based; 0 if unknown
	Object  string `json:"object,omitempty"`
	Field   string `json:"field,omitempty"`
	Text    string `json:"text"` // what is wrong and how to correct it
	Warning bool   `json:"warning,omitempty"`
}

// String returns the fault on one line: file and line, object, field and text.
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
		if f.Line > 0 {
			b.WriteString(strconv.Itoa(f.Line) + ":")
		}
		b.WriteString(" ")
	}
	if f.Warning {
		b.WriteString("warning: ")
	}
	if f.Object != "" {
		b.WriteString(f.Object + ": ")
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Text)
	return b.String()
}

// InvalidError reports the faults of a set of objects, possibly with warnings
// among them.
type InvalidError struct{ Faults []Fault }

// Error implements error. It returns one line per fault.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Errors returns the faults that are not warnings.
func Errors(faults []Fault) []Fault {
	var out []Fault
	for _, f := range faults {
		if !f.Warning {
			out = append(out, f)
		}
	}
	return out
}

package setup

import "strconv"

// Fault is one thing that is wrong with a settings file.
type Fault struct {
	Key  string // dotted path of the setting
	Line int    // 1-based; 0 if the key isn't in the file
	Text string // what is wrong and what to write instead
}

// String returns the fault as line, key and text.
func (f Fault) String() string {
	s := f.Text
	if f.Key != "" {
		s = f.Key + ": " + s
	}
	if f.Line > 0 {
		s = "line " + strconv.Itoa(f.Line) + ": " + s
	}
	return s
}

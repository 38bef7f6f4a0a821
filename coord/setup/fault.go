package setup

import "strconv"

// Fault describes one error in a settings file.
type Fault struct {
	Key  string // dotted path of the setting
	Line int    // 1-based; 0 if the key isn't in the file
	Text string // the error and how to correct it
}

// String returns the line, the key and the text, as far as they are set.
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

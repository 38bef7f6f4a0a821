package config

import (
	"strings"
)

// section is one TOML table of a file: its header and the lines below it.
type section struct {
	header string // without brackets; empty before the first header
	line   int    // of the header, 1-based
	lines  []string
}

// sections splits a file at its table headers, so that a fault in one object
// doesn't hide those in another.
func sections(data []byte) []section {
	out := []section{{line: 1}}
	for i, text := range strings.Split(string(data), "\n") {
		trimmed := strings.TrimSpace(text)
		if strings.HasPrefix(trimmed, "[") {
			out = append(out, section{header: headerName(trimmed), line: i + 1})
			continue
		}
		last := &out[len(out)-1]
		last.lines = append(last.lines, text)
	}
	return out
}

// headerName returns the text between the brackets of a table header, or the
// whole line if it isn't a plain table header.
func headerName(line string) string {
	name, rest, found := strings.Cut(line[1:], "]")
	rest = strings.TrimSpace(rest)
	if !found || strings.HasPrefix(name, "[") || rest != "" && !strings.HasPrefix(rest, "#") {
		return line
	}
	return strings.TrimSpace(name)
}

// firstLine returns the number of the section's first line that is neither
// empty nor a comment, or 0.
func (s section) firstLine() int {
	for i, text := range s.lines {
		trimmed := strings.TrimSpace(text)
		if trimmed != "" && !strings.HasPrefix(trimmed, "#") {
			return s.bodyLine() + i
		}
	}
	return 0
}

// bodyLine returns the line number of the first line below the header.
func (s section) bodyLine() int {
	if s.header == "" {
		return s.line
	}
	return s.line + 1
}

// fieldLines returns the line number of each field.
func (s section) fieldLines() map[string]int {
	fields := make(map[string]int, len(s.lines))
	for i, text := range s.lines {
		name, _, found := strings.Cut(text, "=")
		name = strings.TrimSpace(name)
		if found && !strings.HasPrefix(name, "#") {
			fields[name] = s.bodyLine() + i
		}
	}
	return fields
}

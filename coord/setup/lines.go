package setup

import (
	"strings"
)

// lineIndex maps the dotted path of a key to its line, 1-based.
type lineIndex map[string]int

// keyLines returns the lines of table headers and of bare keys. Keys in inline
// tables aren't indexed; find returns the line of their parent.
func keyLines(data []byte) lineIndex {
	index := make(lineIndex)
	table := ""
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = strings.Trim(strings.SplitN(line, "#", 2)[0], "[] \t")
			index.add(table, i+1)
			continue
		}
		key, _, found := strings.Cut(line, "=")
		if !found || strings.HasPrefix(line, "#") {
			continue
		}
		index.add(joinKey([]string{table, strings.TrimSpace(key)}), i+1)
	}
	return index
}

// add records the first line of key.
func (x lineIndex) add(key string, line int) {
	if _, ok := x[key]; !ok {
		x[key] = line
	}
}

// find returns the line of key or of its nearest parent in the file, or 0 if
// there is neither.
func (x lineIndex) find(key string) int {
	for key != "" {
		if line, ok := x[key]; ok {
			return line
		}
		i := strings.LastIndexByte(key, '.')
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
	return 0
}

// joinKey joins the non-empty parts with dots.
func joinKey(parts []string) string {
	nonEmpty := make([]string, 0, len(parts))
	for _, p := range parts {
		if p != "" {
			nonEmpty = append(nonEmpty, p)
		}
	}
	return strings.Join(nonEmpty, ".")
}

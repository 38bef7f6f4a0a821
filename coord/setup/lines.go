package setup

import (
	"strings"
)

// lineIndex maps the dotted path of a key to the line it stands on.
type lineIndex map[string]int

// keyLines finds the lines of plain keys and table headers. Keys in nested
// inline tables are found under their parent.
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

func (x lineIndex) add(key string, line int) {
	if _, ok := x[key]; !ok {
		x[key] = line
	}
}

// find returns the line of key, or that of its nearest parent in the file.
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

func joinKey(parts []string) string {
	kept := make([]string, 0, len(parts))
	for _, p := range parts {
		if p != "" {
			kept = append(kept, p)
		}
	}
	return strings.Join(kept, ".")
}

package shell

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/balsamford/balsamford/coord/config"
)

func (a *app) printJSON(v any) {
	_ = json.NewEncoder(a.streams.Out).Encode(v)
}

// printTable prints rows under a header, in columns.
func (a *app) printTable(header string, rows [][]string) {
	w := tabwriter.NewWriter(a.streams.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

// printChanges prints differences as lines that begin with + or -.
func (a *app) printChanges(w io.Writer, changes []config.Difference) {
	if len(changes) == 0 {
		_, _ = fmt.Fprintln(w, "no difference")
	}
	for _, d := range changes {
		printLines(w, "- ", d.Old, d.New)
		printLines(w, "+ ", d.New, d.Old)
	}
}

// printLines prints the lines of text that other hasn't, under the header.
func printLines(w io.Writer, mark, text, other string) {
	theirs := make(map[string]bool)
	for line := range strings.Lines(other) {
		theirs[line] = true
	}
	header := ""
	for line := range strings.Lines(text) {
		if header == "" {
			header = line
		}
		if theirs[line] && line != header {
			continue
		}
		if theirs[line] {
			_, _ = io.WriteString(w, "  "+line)
			continue
		}
		_, _ = io.WriteString(w, mark+line)
	}
}

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

// printTable prints rows in aligned columns. header holds the column names, separated
// by single spaces.
func (a *app) printTable(header string, rows [][]string) {
	w := tabwriter.NewWriter(a.streams.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

// printChanges prints removed lines with "- " in front and added ones with "+ ".
func (a *app) printChanges(w io.Writer, changes []config.Difference) {
	if len(changes) == 0 {
		_, _ = fmt.Fprintln(w, "no difference")
	}
	for _, d := range changes {
		printLines(w, "- ", d.Old, d.New)
		printLines(w, "+ ", d.New, d.Old)
	}
}

// printLines prints the lines of text that are missing in other, with mark in front.
// The first line of text is the object's header: it is printed also if both have it,
// but then without mark.
func printLines(w io.Writer, mark, text, other string) {
	inOther := make(map[string]bool)
	for line := range strings.Lines(other) {
		inOther[line] = true
	}
	header := ""
	for line := range strings.Lines(text) {
		if header == "" {
			header = line
		}
		if inOther[line] && line != header {
			continue
		}
		if inOther[line] {
			_, _ = io.WriteString(w, "  "+line)
			continue
		}
		_, _ = io.WriteString(w, mark+line)
	}
}

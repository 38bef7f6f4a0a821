package shell

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/balsamford/balsamford/balsam/internal/trace"
	"github.com/balsamford/balsamford/coord/setup"
)

// maxLogFiles is the number of log files that the trace command accepts.
const maxLogFiles = 64

// traceOutput is the JSON output of the trace command.
type traceOutput struct {
	Cause string       `json:"cause"`
	Lines []trace.Line `json:"lines"`
}

// addTraceCommand adds the command that explains a job by the logs of hosts.
func (a *app) addTraceCommand(p *flaggy.Parser) {
	var id string
	files := make([]string, maxLogFiles)
	sub := a.addCommand(p, "trace", "explains a job by the logs of the platform's nodes",
		"  balsam trace 82fc7be0359bb6f0 logs/*.log\n  collect-logs | balsam trace 82fc7be0359bb6f0 -",
		func(context.Context) error { return a.trace(id, files) })
	sub.AddPositionalValue(&id, "ID", 1, true, "id of a job")
	for i := range files {
		sub.AddPositionalValue(&files[i], "FILE", i+2, i == 0, "log of a host, or - for the standard input")
	}
}

func (a *app) trace(id string, files []string) error {
	h := trace.New(id)
	for _, name := range files {
		if name == "" {
			continue
		}
		if err := a.readLog(h, name); err != nil {
			return &setup.FileError{Path: name, Err: err}
		}
	}
	if !h.Known() {
		return &MissingError{What: "job " + id + " in these logs"}
	}
	lines := h.Lines()
	if a.json() {
		a.printJSON(traceOutput{Cause: h.Cause(), Lines: lines})
		return nil
	}
	const clock = "15:04:05.000"
	rows := make([][]string, 0, len(lines))
	for i := range lines {
		rows = append(rows, []string{lines[i].Time.Format(clock), lines[i].Host, lines[i].Text, lines[i].Details()})
	}
	a.printTable("TIME HOST EVENT DETAILS", rows)
	_, _ = fmt.Fprintln(a.streams.Out, "cause: "+h.Cause())
	return nil
}

func (a *app) readLog(h *trace.History, name string) error {
	if name == "-" {
		return h.Read(a.streams.In)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return h.Read(f)
}

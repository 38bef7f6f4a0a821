package shell

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/balsamford/balsamford/balsam/internal/remote"
	"github.com/balsamford/balsamford/coord/admin"
)

// publish sends a change and prints its progress: text, whose last line is overwritten
// while it waits, or JSON lines if JSON is selected or a change with --wait is not
// printed to a terminal. If the response ends before its last step, the outcome of the
// change is unknown.
func (a *app) publish(ctx context.Context, client *remote.Client, in admin.Change) error {
	var last admin.Step
	asJSON := a.json() || !a.streams.Terminal && in.Wait
	err := client.Stream(ctx, http.MethodPost, admin.PathPublish, nil, in, func(_ int, _ remote.Headers, line []byte) error {
		var step admin.Step
		if err := json.Unmarshal(line, &step); err != nil {
			return err
		}
		last = step
		if asJSON {
			_, _ = a.streams.Out.Write(line)
			return nil
		}
		a.printProgress(step)
		return nil
	})
	var reach *remote.ReachError
	if errors.As(err, &reach) || err == nil && !last.Done {
		return &admin.Failure{Code: admin.CodeUnknown, ID: in.ID, Text: "the door's answer broke off, so it is not known whether the change was published"}
	}
	if err != nil {
		return err
	}
	if last.Failure == nil {
		return nil
	}
	if asJSON {
		return &ExitError{Code: failureCode(last.Failure.Code)}
	}
	return last.Failure
}

// printProgress prints one step as text.
func (a *app) printProgress(s admin.Step) {
	out := a.streams.Out
	switch {
	case s.Unchanged:
		_, _ = fmt.Fprintf(out, "version %d has this already\n", s.Version)
	case s.Published:
		a.printChanges(out, s.Changes)
		for _, w := range s.Warnings {
			_, _ = fmt.Fprintln(a.streams.Err, w.String())
		}
		_, _ = fmt.Fprintf(out, "version %d is published (%s)\n", s.Version, s.ID)
	case s.Progress != nil && s.Done:
		_, _ = fmt.Fprintf(out, "\r\x1b[K%s\n", progressLine(s))
	case s.Progress != nil:
		_, _ = fmt.Fprintf(out, "\r\x1b[K%s", progressLine(s))
	}
}

func progressLine(s admin.Step) string {
	p := s.Progress
	if p.Accepted {
		line := fmt.Sprintf("version %d is in force: %d confirmed", s.Version, len(p.Confirmed))
		if len(p.Missing) > 0 {
			line += fmt.Sprintf(", %d lapsed (%s)", len(p.Missing), strings.Join(p.Missing, ", "))
		}
		return line
	}
	line := fmt.Sprintf("version %d: %d of %d confirmed", s.Version, len(p.Confirmed), len(p.Confirmed)+len(p.Missing))
	if len(p.Missing) > 0 {
		line += ", missing " + strings.Join(p.Missing, ", ") + "; lapsed in " + p.Lapse.Round(100*time.Millisecond).String()
	}
	if len(p.Waits) > 0 {
		line += ", waits for " + strings.Join(p.Waits, ", ")
	}
	return line
}

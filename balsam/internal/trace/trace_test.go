package trace

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const id = "0123456789abcdef"

// logLine returns a log line of host. fields are further JSON members, without braces.
func logLine(second, host, text, fields string) string {
	if fields != "" {
		fields = "," + fields
	}
	return `{"level":"info","time":"2026-08-12T06:28:` + second + `Z","text":"` + text + `","role":"node","host":"` + host + `","zone":"z"` + fields + `}` + "\n"
}

// jobFields returns fields with the id of the job in front.
func jobFields(fields string) string {
	if fields == "" {
		return `"id":"` + id + `"`
	}
	return `"id":"` + id + `",` + fields
}

// TestCause checks that the cause doesn't depend on which host's log is read first.
func TestCause(t *testing.T) {
	accepted := logLine("10.100", "a", "accepted", jobFields(`"queue":"q"`))
	tests := map[string]struct {
		logs  []string
		cause string
	}{
		"unknown": {logs: []string{logLine("10", "a", "accepted", `"id":"ffff"`)}, cause: "the logs say nothing of it"},
		"in time": {logs: []string{accepted, logLine("11", "b", "job ended", jobFields(`"phase":"done","after":"900ms","objective":"1s"`))}, cause: "done after 900ms"},
		"limit": {
			logs:  []string{logLine("13", "b", "job ended", jobFields(`"phase":"done","after":"2.9s","objective":"1s","limit":"1.9s","room":"10ms","advice":"0s"`)), accepted},
			cause: "done after 2.9s, objective 1s: waited 1.9s for its team's limit",
		},
		"no owner": {
			logs: []string{
				accepted, logLine("11", "b", "job ended", `"id":"other","epoch":1`), logLine("12.500", "c", "ownership taken", `"epoch":2`),
				logLine("14", "c", "job ended", jobFields(`"phase":"done","after":"3.9s","objective":"1s"`)),
			},
			cause: "done after 3.9s, objective 1s: waited 1.5s for an owner of the cell",
		},
		"work": {
			logs:  []string{accepted, logLine("13", "b", "job ended", jobFields(`"phase":"done","after":"2.9s","objective":"1s"`))},
			cause: "done after 2.9s, objective 1s: the work itself took longer than estimated",
		},
		"fails everywhere": {
			logs: []string{
				accepted, logLine("11", "b", "run ended early", jobFields(`"how":"failed","executor":"e1"`)), logLine("12", "b", "run ended early", jobFields(`"how":"failed","executor":"e2"`)),
				logLine("12.100", "b", "job ended", jobFields(`"phase":"failed"`)),
			},
			cause: "failed: runs failed on 2 executors (e1, e2), so that the fault is the job's own",
		},
		"fails on one": {
			logs:  []string{accepted, logLine("11", "b", "run ended early", jobFields(`"how":"failed","executor":"e1"`)), logLine("12", "b", "job ended", jobFields(`"phase":"failed"`))},
			cause: "failed: all failed runs were on executor e1, whose fault it may be",
		},
		"cancelled": {logs: []string{accepted, logLine("12", "b", "job ended", jobFields(`"phase":"cancelled"`))}, cause: "its team cancelled it"},
		"refused":   {logs: []string{logLine("10", "a", "refused", jobFields(`"reason":"the store doesn't answer"`))}, cause: "refused at a: the store doesn't answer"},
		"waits":     {logs: []string{accepted, logLine("14", "b", "step waits", jobFields(`"step":1,"reason":"room"`))}, cause: "accepted at a, and no end is recorded: step 1 waits for room"},
		"with a prefix, among other lines": {
			logs:  []string{"garbage\n", "  10.1 a " + accepted, "  11 b " + logLine("11", "b", "job ended", jobFields(`"phase":"cancelled"`))},
			cause: "its team cancelled it",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := New(id)
			for _, log := range tt.logs {
				is.NoErr(h.Read(strings.NewReader(log)))
			}
			is.Equal(h.Cause(), tt.cause)
		})
	}
}

// TestLines checks that lines are sorted by time over all hosts, and that lines about
// ownership are included only between the job's first and last line.
func TestLines(t *testing.T) {
	is := is.New(t)
	h := New(id)
	is.NoErr(h.Read(strings.NewReader(logLine("09", "c", "ownership taken", `"epoch":1`) + logLine("12", "c", "job ended", jobFields(`"phase":"done"`)) + logLine("11", "c", "ownership taken", `"epoch":2`))))
	is.NoErr(h.Read(strings.NewReader(logLine("10", "a", "accepted", jobFields(`"queue":"q","team":"t"`)))))
	var texts []string
	for _, l := range h.Lines() {
		texts = append(texts, l.Host+" "+l.Text+" "+l.Details())
	}
	is.Equal(texts, []string{"a accepted queue=q team=t", "c ownership taken epoch=2", "c job ended phase=done"})
}

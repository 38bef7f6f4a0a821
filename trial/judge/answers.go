package judge

import (
	"github.com/balsamford/balsamford/coord/point"
)

// service is the request kind whose tasks run until they are cancelled.
const service = "service"

// checkAnswers finds answers that are incomplete or belong to another request,
// successes that no endpoint's log confirms, and accepted jobs without an
// outcome.
func checkAnswers(r *Record, runs []*run) []Finding {
	done := make(map[string]bool)
	for _, x := range runs {
		if x.state == point.Done {
			done[x.tag] = true
		}
	}
	withdrawn := make(map[string]bool)
	for _, k := range r.Keys {
		withdrawn[k.Name] = !k.Withdrawn.IsZero()
	}
	findings := make([]Finding, 0)
	for i := range r.Calls {
		c := &r.Calls[i]
		switch {
		case c.Accepted && c.Outcome == "" && !withdrawn[c.Key]:
			findings = append(findings, Finding{Answered, c.Tag, "the " + c.Kind + " was accepted, but has no outcome; " + c.Detail})
		case c.Outcome != "done" || c.Gone:
		case !c.Whole:
			findings = append(findings, Finding{Answered, c.Tag, "the answer isn't whole: " + c.Detail})
		case !c.Own:
			findings = append(findings, Finding{Answered, c.Tag, "the answer isn't that of its request: " + c.Detail})
		case !done[c.Tag] && c.Kind != service:
			findings = append(findings, Finding{Answered, c.Tag, "told done, but no endpoint finished it"})
		}
	}
	return findings
}

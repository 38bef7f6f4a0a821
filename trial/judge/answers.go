package judge

import (
	"github.com/balsamford/balsamford/coord/point"
)

// service is the kind whose tasks run until they are stopped.
const service = "service"

// checkAnswers finds callers that were told a wrong or a partial answer, or
// of a success that no endpoint knows of.
func checkAnswers(r *Record, runs []*run) []Finding {
	done := make(map[string]bool)
	for _, x := range runs {
		if x.state == point.Done {
			done[x.tag] = true
		}
	}
	findings := make([]Finding, 0)
	for i := range r.Calls {
		c := &r.Calls[i]
		if c.Outcome != "done" {
			continue
		}
		switch {
		case !c.Whole:
			findings = append(findings, Finding{Answered, c.Tag, "the answer isn't whole"})
		case !c.Own:
			findings = append(findings, Finding{Answered, c.Tag, "the answer isn't that of its request"})
		case !done[c.Tag] && c.Kind != service:
			findings = append(findings, Finding{Answered, c.Tag, "told done, but no endpoint finished it"})
		}
	}
	return findings
}

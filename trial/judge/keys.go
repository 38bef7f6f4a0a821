package judge

import "fmt"

// checkKeys finds work for a team that the key doesn't belong to, and work
// accepted with a withdrawn key.
func checkKeys(r *Record, runs []*run) []Finding {
	keys := make(map[string]Key)
	for _, k := range r.Keys {
		keys[k.Name] = k
	}
	findings := make([]Finding, 0)
	calls := make(map[string]*Call)
	for i := range r.Calls {
		c := &r.Calls[i]
		calls[c.Tag] = c
		k, known := keys[c.Key]
		late := known && !k.Withdrawn.IsZero() && c.Sent.After(k.Withdrawn.Add(configTime))
		if late && (c.Outcome == "done" || c.Outcome == "failed") {
			findings = append(findings, Finding{Keyed, c.Tag,
				fmt.Sprintf("%s with key %s, sent %v after its withdrawal", c.Outcome, c.Key, c.Sent.Sub(k.Withdrawn))})
		}
	}
	for _, x := range runs {
		if x.tag == "" {
			continue
		}
		c := calls[x.tag]
		if c == nil {
			findings = append(findings, Finding{Keyed, x.task, "nobody asked for it"})
			continue
		}
		k, known := keys[c.Key]
		switch {
		case c.Key != "" && !known:
			findings = append(findings, Finding{Keyed, x.task, "ran for the unknown key " + c.Key})
		case x.team != c.Team:
			findings = append(findings, Finding{Keyed, x.task, "ran for team " + x.team + " with a key of " + c.Team})
		case known && !k.Withdrawn.IsZero() && c.Sent.After(k.Withdrawn.Add(configTime)):
			findings = append(findings, Finding{Keyed, x.task, "ran for the withdrawn key " + c.Key})
		}
	}
	return findings
}

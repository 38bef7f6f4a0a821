package judge

import "fmt"

// checkKeys finds tasks that ran for a team other than the key's, tasks that no
// caller requested, and work done with a key after its withdrawal.
func checkKeys(r *Record, runs []*run) []Finding {
	keys := make(map[string]Key)
	for _, k := range r.Keys {
		keys[k.Name] = k
	}
	findings := make([]Finding, 0)
	callOf := make(map[string]*Call)
	for i := range r.Calls {
		c := &r.Calls[i]
		callOf[c.Tag] = c
		k, known := keys[c.Key]
		late := known && !k.Withdrawn.IsZero() && c.Sent.After(k.Withdrawn.Add(configGrace))
		if late && (c.Outcome == "done" || c.Outcome == "failed") {
			findings = append(findings, Finding{Keyed, c.Tag,
				fmt.Sprintf("%s with key %s, sent %v after its withdrawal", c.Outcome, c.Key, c.Sent.Sub(k.Withdrawn))})
		}
	}
	for _, x := range runs {
		if x.tag == "" {
			continue
		}
		c := callOf[x.tag]
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
		case known && !k.Withdrawn.IsZero() && c.Sent.After(k.Withdrawn.Add(configGrace)):
			findings = append(findings, Finding{Keyed, x.task, "ran for the withdrawn key " + c.Key})
		}
	}
	return findings
}

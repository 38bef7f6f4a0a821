package judge

import "fmt"

// checkStops finds planned stops that ended with a nonzero exit code.
func checkStops(r *Record) []Finding {
	findings := make([]Finding, 0)
	for _, x := range r.Exits {
		if x.Planned && x.Code != 0 {
			findings = append(findings, Finding{Stopped, x.Process, fmt.Sprintf("planned stop ended with code %d", x.Code)})
		}
	}
	return findings
}

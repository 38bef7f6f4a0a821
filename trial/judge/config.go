package judge

import "fmt"

// checkConfig finds hosts whose configuration reverted to an older version, and
// hosts that reported a stale version as current more than configGrace after a
// newer one was accepted.
func checkConfig(r *Record) []Finding {
	findings := make([]Finding, 0)
	highest := make(map[string]uint64)
	for _, v := range r.Versions {
		if v.Version == 0 {
			continue
		}
		if v.Version < highest[v.Host] {
			findings = append(findings, Finding{Config, v.Host, fmt.Sprintf("version %d after %d", v.Version, highest[v.Host])})
		}
		highest[v.Host] = max(highest[v.Host], v.Version)
		for _, p := range r.Published {
			late := v.Seen.After(p.Accepted.Add(configGrace))
			if late && v.Fresh && v.Version < p.Version {
				findings = append(findings, Finding{Config, v.Host,
					fmt.Sprintf("version %d counts as confirmed %v after %d was accepted", v.Version, v.Seen.Sub(p.Accepted), p.Version)})
			}
		}
	}
	return findings
}

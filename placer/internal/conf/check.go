package conf

import (
	"strconv"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/setup"
)

const (
	// minTerm keeps terms long compared to the margin for clock drift.
	minTerm = time.Second
	// leaseTerms is the minimum length of a task lease in terms; tasks then
	// survive a takeover.
	leaseTerms = 2
	// lapseBeats is the minimum length of the lapse in heartbeat intervals.
	lapseBeats = 2
	// minHistory leaves enough time for the writes and retries of a job that
	// has just ended.
	minHistory = setup.Duration(10 * time.Minute)
	// maxHistory limits the number of rows of ended jobs.
	maxHistory = setup.Duration(720 * time.Hour)
)

// Check implements setup.Checker.
func (s *Settings) Check() []setup.Fault {
	faults := setup.Required("host", s.Host)
	faults = append(faults, setup.Required("zone", s.Zone)...)
	faults = append(faults, setup.Address("link", s.Link)...)
	faults = append(faults, setup.Address("page", s.Page)...)
	faults = append(faults, setup.Address("platform", s.Platform)...)
	faults = append(faults, setup.Required("certs.cert", s.Certs.Cert)...)
	faults = append(faults, setup.Required("certs.key", s.Certs.Key)...)
	faults = append(faults, setup.Required("certs.authority", s.Certs.Authority)...)
	faults = append(faults, s.checkTimes()...)
	faults = append(faults, s.Process.Check()...)
	for i, p := range s.Peers {
		faults = append(faults, p.check("peers."+strconv.Itoa(i))...)
	}
	for i, p := range s.Entries {
		faults = append(faults, p.check("entries."+strconv.Itoa(i))...)
	}
	return append(faults, s.checkEndpoints()...)
}

// CheckFiles implements setup.FileChecker.
func (s *Settings) CheckFiles() []setup.Fault { return s.Certs.Files().Faults("certs", time.Now()) }

func (s *Settings) checkTimes() []setup.Fault {
	var faults []setup.Fault
	if time.Duration(s.Term) < minTerm {
		faults = append(faults, setup.Fault{Key: "term", Text: "shorter than " + minTerm.String() + "; make it longer"})
	}
	if s.Lease < leaseTerms*s.Term {
		faults = append(faults, setup.Fault{Key: "lease", Text: "shorter than two terms; tasks would end at a takeover"})
	}
	if s.Beat <= 0 || s.Lapse < lapseBeats*s.Beat {
		faults = append(faults, setup.Fault{Key: "lapse", Text: "shorter than two beats; one lost heartbeat would move endpoints"})
	}
	if s.List <= 0 {
		faults = append(faults, setup.Fault{Key: "list", Text: `not above zero; write a duration, like "1s"`})
	}
	if s.Drain <= 0 {
		faults = append(faults, setup.Fault{Key: "drain", Text: `not above zero; write a duration, like "30s"`})
	}
	if s.History < minHistory || s.History > maxHistory {
		faults = append(faults, setup.Fault{Key: "history", Text: `must be between "10m" and "720h"`})
	}
	return faults
}

func (p Peer) check(key string) []setup.Fault {
	faults := setup.Required(key+".name", p.Name)
	faults = append(faults, setup.Required(key+".zone", p.Zone)...)
	return append(faults, setup.Address(key+".link", p.Link)...)
}

func (s *Settings) checkEndpoints() []setup.Fault {
	var faults []setup.Fault
	seen := make(map[string]bool)
	for i, e := range s.Endpoints {
		key := "endpoints." + strconv.Itoa(i)
		faults = append(faults, setup.Required(key+".name", e.Name)...)
		faults = append(faults, setup.Address(key+".address", e.Address)...)
		if k := point.Kind(e.Kind); k != point.Executor && k != point.Worker {
			faults = append(faults, setup.Fault{Key: key + ".kind", Text: `"` + e.Kind + `" is not a kind; write "executor" or "worker"`})
		}
		if seen[e.Name] {
			faults = append(faults, setup.Fault{Key: key + ".name", Text: `"` + e.Name + `" is listed twice; remove one`})
		}
		seen[e.Name] = true
	}
	return faults
}

package plan

import "time"

const (
	// paceWindow is the time over which the pace of a supply is measured.
	paceWindow = 2 * time.Second
	// minPaceShare times the nominal pace is the least pace that is expected. Executors that
	// start nothing for a moment, after a fault for instance, usually go on.
	minPaceShare = 0.25
	// minRankShare times the pace is the least pace that is expected for work of any rank, since the arrival
	// of better work varies.
	minRankShare = 0.1
)

// supply is something that waiting work takes in turn: the executors of a service, the limit of a
// team or the slots of the adviser.
type supply struct {
	started flow      // amount of work that was started
	scarce  time.Time // since when work has waited for it without a break; zero if none does
}

// noteScarce notes whether work waits for the supply.
func (p *supply) noteScarce(scarce bool, now time.Time) {
	switch {
	case !scarce:
		p.scarce = time.Time{}
	case p.scarce.IsZero():
		p.scarce = now
	}
}

// pace returns the amount of work that is expected to start in a second. nominal is the amount
// that could start by estimates. What was started shows the pace only if work waited all the time:
// otherwise it shows the demand.
func (p *supply) pace(nominal float64, now time.Time) float64 {
	measured := p.started.rate(now, paceWindow)
	if p.scarce.IsZero() || now.Sub(p.scarce) < paceWindow {
		return max(measured, nominal)
	}
	return max(measured, nominal*minPaceShare)
}

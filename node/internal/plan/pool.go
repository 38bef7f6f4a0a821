package plan

import (
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// pool holds the executors of a service that accept new work, for one decision. Runs only
// start during a decision, so that a need that finds no room once finds none later. With a
// backlog of thousands of waiting tasks on full executors, most stages are so passed over
// without a look at the executors.
type pool struct {
	service         string
	label           string // the executors have it; empty for no label
	rack            string // the executors are on it; empty for any rack
	decision        int    // number of the decision
	executors       []*executor
	unfit           []model.Amount   // needs for which no executor has room
	unfitUnreserved []model.Amount   // needs for which none has room beside what is reserved
	byLabel         map[string]*pool // subsets of the executors, made when they are first needed
	byRack          map[string]*pool // the same
	supply          *supply          // of the service
}

// AvoidZone excludes the executors of a zone from new work. An empty name excludes
// none.
func (s *State) AvoidZone(zone string) { s.avoidedZone = zone }

// newPool returns the executors of a service that accept new work at now.
func (s *State) newPool(service string, now time.Time) *pool {
	p := &pool{service: service, decision: s.decision, byLabel: make(map[string]*pool), executors: make([]*executor, 0, len(s.executors))}
	kind, kindTime := "", 1.0
	for _, e := range s.executors {
		if e.info.Service == service && s.schedulable(e, now) {
			if e.info.Kind != kind {
				kind, kindTime = e.info.Kind, s.slowdown(e)
			}
			e.pooledIn, e.kindTime, e.ownTime = s.decision, kindTime, 1
			if e.odd {
				e.ownTime = s.ownSlowdown(e, now)
			}
			e.relativeTime = e.kindTime * e.ownTime
			s.slowPooled = s.slowPooled || e.slow()
			p.executors = append(p.executors, e)
		}
	}
	noteSizes(p.executors)
	return p
}

// has reports whether an executor is in the pool.
func (p *pool) has(e *executor) bool {
	return e.pooledIn == p.decision && e.info.Service == p.service && (p.label == "" || e.info.Has(p.label)) && (p.rack == "" || e.info.Rack == p.rack)
}

// withLabel returns the executors that have a label; all of them if it is empty.
func (p *pool) withLabel(label string) *pool {
	if label == "" {
		return p
	}
	q := p.byLabel[label]
	if q == nil {
		q = &pool{service: p.service, label: label, decision: p.decision, supply: p.supply}
		for _, e := range p.executors {
			if e.info.Has(label) {
				q.executors = append(q.executors, e)
			}
		}
		p.byLabel[label] = q
	}
	return q
}

// racks returns the executors by rack.
func (p *pool) racks() map[string]*pool {
	if p.byRack != nil {
		return p.byRack
	}
	p.byRack = make(map[string]*pool)
	for _, e := range p.executors {
		q := p.byRack[e.info.Rack]
		if q == nil {
			q = &pool{service: p.service, label: p.label, rack: e.info.Rack, decision: p.decision, supply: p.supply}
			p.byRack[e.info.Rack] = q
		}
		q.executors = append(q.executors, e)
	}
	return p.byRack
}

// mayFit reports whether an executor may have room for a need.
func (p *pool) mayFit(need model.Amount) bool {
	for _, u := range p.unfit {
		if u.Fits(need) {
			return false
		}
	}
	return true
}

// mayFitUnreserved reports whether an executor may have room for a need beside what is reserved.
func (p *pool) mayFitUnreserved(need model.Amount) bool {
	return !slices.ContainsFunc(p.unfitUnreserved, func(u model.Amount) bool { return u.Fits(need) })
}

// noteUnfit notes that no executor has room for a need.
func (p *pool) noteUnfit(need model.Amount) { p.unfit = append(p.unfit, need) }

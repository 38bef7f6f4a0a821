package plan

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxExecutorsPerRequest bounds the executors that one request names without a backlog,
	// since each adds to the adviser's answer time. If a third of them are allowed, a step of
	// some dozen tasks fits on them.
	maxExecutorsPerRequest = 30
	// maxExecutorsUnderBacklog bounds them under a backlog. It is what the adviser accepts.
	maxExecutorsUnderBacklog = 100
	// requestSurplus times the waiting tasks is the number of tasks for which a
	// request should find capacity, since other work takes some of it before the
	// answer comes.
	requestSurplus = 1.5
	// backlogSurplus is the same under a backlog, where more of the capacity is taken, and
	// maxFreedTasks the most tasks that an executor without free capacity counts for. With less, capacity
	// stays idle until the next answer; with more, long requests keep other stages waiting.
	backlogSurplus = 2.0
	maxFreedTasks  = 2.0
	// maxRenewalLead is the largest part of a ticket's validity that may be left when it is
	// renewed, as a divisor.
	maxRenewalLead = 4
)

// Under a backlog nearly all executors are full at any time. A request that named only those with
// capacity found few, and that capacity was taken by other stages before the answer came. So a
// stage that is next in order asks about full executors, too: it holds tickets for many, and uses
// whichever of them frees capacity first.

// requestDraft is a request that may be sent.
type requestDraft struct {
	executors      []string
	expectedStarts float64 // tasks that the answer is expected to let start
	someFull       bool    // there are executors without free capacity
}

// composition is what a request is composed from.
type composition struct {
	state  *State
	stage  *stage
	pool   *pool
	tasks  int           // that may start
	ahead  bool          // executors without free capacity are named, too
	lead   time.Duration // tickets that expire within it are renewed
	now    time.Time
	groups [4][]fit // by group
	held   []fit    // executors with a ticket that stays valid
	ranked []fit    // of all groups
	draft  requestDraft
}

// reset prepares the composition of another request. The buffers stay: a draft looks at all executors of a
// service, and under a backlog a decision makes dozens of drafts.
func (c *composition) reset() {
	for i := range c.groups {
		c.groups[i] = c.groups[i][:0]
	}
	*c = composition{groups: c.groups, held: c.held[:0], ranked: c.ranked[:0]}
}

// The groups of executors that a request may name.
const (
	allowedFree = iota // known to be allowed, with free capacity
	allowedFull        // known to be allowed
	unaskedFree        // with free capacity, not asked about yet
	unaskedFull        // not asked about yet
)

// draftRequest returns the request for n tasks of a stage. It leaves out executors that aren't
// allowed and those with a valid ticket. Those without free capacity are named only if ahead is set.
func (s *State) draftRequest(st *stage, p *pool, n int, ahead bool, now time.Time) requestDraft {
	if !ahead && !p.mayFit(st.spec.Room()) {
		return requestDraft{}
	}
	c := &s.composition
	c.reset()
	c.state, c.stage, c.pool, c.tasks, c.ahead, c.now = s, st, p, n, ahead, now
	if q := &st.occur.job.queue; ahead {
		c.lead = min(q.Decide+maxExecutorsPerRequest*q.Each, q.Valid/maxRenewalLead)
	}
	c.collect()
	covered := 0.0
	for _, ft := range c.held {
		covered += c.expected(ft)
	}
	if st.spec.Gang && covered < float64(n) && c.renewAll() {
		covered = 0
	}
	surplus := requestSurplus
	if ahead {
		surplus = backlogSurplus
	}
	if wanted := surplus * (float64(n) - covered); wanted > 0 {
		c.rank()
		c.fill(wanted)
	}
	return c.draft
}

// collect sorts the executors into groups.
func (c *composition) collect() {
	st, perTask := c.stage, c.stage.spec.Room()
	for _, e := range c.pool.executors {
		full := !perTask.Fits(e.free())
		if full && !c.ahead && c.draft.someFull {
			continue
		}
		t, answered := st.advice.ticketFor(e)
		if answered && !t.allowed {
			continue
		}
		n := e.capacityFor(st, perTask)
		if n == 0 {
			c.draft.someFull = true
			if !c.ahead || !full || e.idleCapacityFor(st) == 0 || st.spec.Spread > 0 && e.runsOf(st) >= st.spec.Spread {
				continue
			}
		}
		ft := fit{executor: e, tasks: n, score: e.relativeTime}
		group := unaskedFull
		switch {
		case t.usable(c.now.Add(c.lead)):
			c.held = append(c.held, ft)
			continue
		case c.now.Before(t.nextRequest):
			continue
		case answered && n > 0:
			group = allowedFree
		case answered:
			group = allowedFull
		case n > 0:
			group = unaskedFree
		}
		c.groups[group] = append(c.groups[group], ft)
	}
}

// renewAll makes all executors with a ticket part of the request, if it names others. A gang needs
// all its tickets valid at once, which they aren't for long if they are renewed at different times.
func (c *composition) renewAll() bool {
	named := 0
	for _, group := range c.groups {
		named += len(group)
	}
	if named == 0 {
		return false
	}
	for _, ft := range c.held {
		group := allowedFree
		if ft.tasks == 0 {
			group = allowedFull
		}
		c.groups[group] = append(c.groups[group], ft)
	}
	c.held = c.held[:0]
	return true
}

// expected returns how many tasks an executor is expected to start if it is allowed. Under a
// backlog, free capacity is shared with other stages, and more becomes free while the ticket is
// valid.
func (c *composition) expected(ft fit) float64 {
	if !c.ahead {
		return float64(ft.tasks)
	}
	x := float64(ft.tasks) * c.pool.supply.freeShare()
	freed := maxFreedTasks
	if need := c.stage.spec.Need.CPU; need > 0 {
		perSecond := c.state.turnover.share() * float64(ft.executor.info.Room.CPU) / float64(need)
		freed = min(freed, perSecond*c.stage.occur.job.queue.Valid.Seconds())
	}
	return min(float64(c.tasks), x+freed)
}

// rank ranks the zones of all executors. It does nothing for lasting tasks, which aren't placed by zone.
func (c *composition) rank() {
	if c.stage.spec.Lasting {
		return
	}
	for _, group := range c.groups {
		c.ranked = append(c.ranked, group...)
	}
	c.stage.rankZones(c.ranked, c.stage.waiting)
	rest := c.ranked
	for _, group := range c.groups {
		rest = rest[copy(group, rest):]
	}
}

// sort sorts a group, the best executors first.
func (c *composition) sort(group []fit) {
	urgent := c.stage.urgent()
	slices.SortFunc(group, func(a, b fit) int {
		if a.zoneRank != b.zoneRank {
			return a.zoneRank - b.zoneRank
		}
		if urgent && a.score != b.score {
			return cmp.Compare(a.score, b.score)
		}
		return b.tasks - a.tasks
	})
}

// groupOrder returns the groups in the order in which executors are named: those known to be allowed
// first, except that executors with much free capacity go before full ones. After a zone has come
// back, its executors aren't known yet and idle.
func (c *composition) groupOrder() [4]int {
	if len(c.groups[unaskedFree]) == 0 || len(c.groups[allowedFull]) == 0 {
		return [4]int{allowedFree, allowedFull, unaskedFree, unaskedFull}
	}
	c.sort(c.groups[unaskedFree])
	share := c.state.allowedShare(c.stage.occur.job.queue.Name).value()
	if share*c.expected(c.groups[unaskedFree][0]) > c.expected(c.groups[allowedFull][0]) {
		return [4]int{allowedFree, unaskedFree, allowedFull, unaskedFull}
	}
	return [4]int{allowedFree, allowedFull, unaskedFree, unaskedFull}
}

// fill names executors until they are expected to start the wanted number of tasks: those known to
// be allowed first. Under a backlog it stops before an executor that makes the answer cost more time
// for each task that it lets start.
func (c *composition) fill(wanted float64) {
	most := maxExecutorsPerRequest
	if c.ahead {
		most = maxExecutorsUnderBacklog
	}
	q := &c.stage.occur.job.queue
	for _, group := range c.groupOrder() {
		fits, share := c.groups[group], 1.0
		if group >= unaskedFree {
			share = c.state.allowedShare(q.Name).value()
		}
		if len(c.draft.executors) == most || c.draft.expectedStarts >= wanted {
			return
		}
		c.sort(fits)
		for _, ft := range fits {
			if len(c.draft.executors) == most || c.draft.expectedStarts >= wanted {
				return
			}
			starts := share * c.expected(ft)
			cost := q.Decide + time.Duration(len(c.draft.executors))*q.Each
			if c.ahead && len(c.draft.executors) > 0 && starts*float64(cost) < c.draft.expectedStarts*float64(q.Each) {
				break // The others of the group are worse, or nearly as bad.
			}
			c.draft.executors = append(c.draft.executors, ft.executor.info.ID)
			c.draft.expectedStarts += starts
		}
	}
}

package plan

// mark says how the waiting work of a job is ordered while it competes for too little.
type mark int

const (
	unmarked     mark = iota // in order of its latest start
	markLate                 // can't meet its objective, and can end within lateFactor times it
	markDeferred             // goes behind all work that can be in time
	markHopeless             // can't end while it is worth anything; goes last
)

// missedRankPenalty is the number of ranks that work is moved back that can't meet its objective: behind
// all work that can. It is larger than any priority and the other penalties together.
const missedRankPenalty = 1 << 12

// deferredRankPenalty is the number of ranks that deferred work is moved back, and hopeless work
// twice. It is larger than any priority and the penalties together.
const deferredRankPenalty = 1 << 16

// rankPenalty returns the number of ranks that work with the mark is moved back.
func (m mark) rankPenalty() int {
	switch m {
	case markDeferred:
		return deferredRankPenalty
	case markHopeless:
		return 2 * deferredRankPenalty
	case markLate:
		return missedRankPenalty
	case unmarked:
	}
	return 0
}

// setMark sets the mark, on which the order of the job's stages depends.
func (j *job) setMark(m mark) {
	if j.mark != m {
		j.mark = m
		j.order.changeTerms()
	}
}

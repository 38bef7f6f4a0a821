package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// State is all that decisions rest on.
type State struct {
	config             *model.Config
	remoteSlowdown     float64
	quotaWindow        time.Duration // over which teams' rates of submissions are taken
	quotaSlack         int           // jobs that a team may submit beyond its rate in that time
	maxStopTime        time.Duration // that stopping a run takes at most
	runNumberBase      int           // run numbers of this owner lie above it
	settleDeadline     time.Time     // until when unknown runs may exist
	avoidedZone        string        // zone whose executors get no new work
	writeAheadZone     string        // zone on whose executors all runs of earlier owners are recorded
	reregisterUntil    time.Time     // until when an executor without an entry may have some
	executorsListed    bool          // all executors that have an entry are known
	jobs               map[string]*job
	executors          map[string]*executor
	teams              map[string]*team
	dirty              map[string]*job                 // progress or phase not yet recorded
	ended              map[string]bool                 // jobs that have ended and are recorded
	pendingAdvice      map[model.StepID]pendingRequest // questions to the adviser under way
	paused             bool                            // no run may start
	adviceSlots        int                             // hosts that can ask
	slowdowns          map[string]float64              // learned, by kind of hardware
	recordedClosed     []string                        // executors that the last record names as closed, in order
	recordedUnverified []string                        // of these, executors that may run what is not recorded, in order
	maybeClosed        map[string]bool                 // executors that a record may name
	// closedBefore is the executors that the last owner had closed.
	inheritedClosed map[string]bool
	leaseEnds       map[string]time.Time // when leases end at some of them
	forgotten       []string             // jobs that were forgotten and not yet returned by Over
	orders          Orders               // collected between and during decisions
}

// New returns an empty State under config.
func New(config *model.Config, opts ...Option) *State {
	s := &State{
		config: config, remoteSlowdown: 1, quotaWindow: defaultQuotaWindow, maxStopTime: time.Second, jobs: make(map[string]*job), executors: make(map[string]*executor),
		teams: make(map[string]*team), dirty: make(map[string]*job), ended: make(map[string]bool), slowdowns: make(map[string]float64), pendingAdvice: make(map[model.StepID]pendingRequest), maybeClosed: make(map[string]bool), adviceSlots: 1,
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Configure puts a configuration in force. Jobs of queues that it lacks keep
// the queue that they had.
func (s *State) Configure(config *model.Config) {
	s.config = config
	for _, j := range s.jobs {
		j.updateQueue(config)
	}
}

// team returns the use of a team, which is made when needed.
func (s *State) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{}
		s.teams[name] = t
	}
	return t
}

package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// State holds the jobs, executors and teams that decisions are based on.
type State struct {
	config         *model.Config // current configuration, or nil
	decision       int           // number of decisions
	nextSweep      time.Time     // when sweep is due again
	remoteSlowdown float64       // factor for a task away from its data
	// A team's burst is what its rate yields in quotaWindow, and quotaSlack jobs
	// more.
	quotaWindow        time.Duration
	quotaSlack         int
	maxStopTime        time.Duration   // longest time that a run takes to stop
	runNumberBase      int             // new runs are numbered above it
	recordSize         int             // largest size of a job's record in bytes, 0 for no limit
	longestID          int             // of the executors seen, in bytes
	settleDeadline     time.Time       // after it no unknown run can exist
	avoidedZone        string          // executors there get no new work; empty for no zone
	evacuated          map[string]bool // zones that are being evacuated; executors there get no new work
	writeAheadZone     string          // the previous owner recorded runs there before it started them
	reregisterUntil    time.Time       // until then executors that aren't registered may have unrecorded runs
	executorsListed    bool            // all executors that were registered at listedAsOf are known
	listedAsOf         time.Time
	jobs               map[string]*job
	order              waitOrder // of the stages that wait
	executors          map[string]*executor
	zones              map[string]int // numbers of the executors' zones, by name
	changed            []*executor    // executors with changed runs or a new report since the last decision
	teams              map[string]*team
	dirty              map[string]*job                 // jobs with progress that isn't recorded yet
	pendingMoves       []pendingMove                   // runs that were ordered to move and haven't ended
	moveRequests       map[*stage]moveRequests         // since the set of evacuated zones has changed
	nextMove           int                             // position in the next sweep's candidates at which it begins
	ended              map[string]bool                 // jobs whose end is recorded and whose rows still exist
	pendingAdvice      map[model.StepID]pendingRequest // requests to the adviser without an answer
	longRequests       int                             // of these, long ones
	shortRequestAt     time.Time                       // when a short one was last ordered
	failedSlots        []time.Time                     // until when the slots of failed requests stay occupied
	shortRequests      peak                            // short requests that were needed at a time
	longSent           int                             // long requests that the present decision has sent so far
	shortWanted        int                             // short requests that the present decision has wanted so far
	unsentRequests     []unsentRequest                 // of the present decision, to be sent if slots are idle
	hopelessRequests   []unsentRequest                 // the same for hopeless stages
	fits               []fit                           // the last ones that findFits has returned
	composition        composition                     // of the last draft of a request
	firstUnsent        unsentRequest                   // of the present decision, with the most urgent stage
	nextAskAhead       time.Time                       // nothing is asked ahead before that
	idleChecked        time.Time                       // when idle slots were last looked for
	idleSince          time.Time                       // since when a step waits while slots are idle; zero if none does
	idleLogged         time.Time                       // when that was last reported
	ticketsRequired    map[string]time.Time            // by queue, until when its starts need tickets though it isn't advised
	allowedShares      map[string]*allowedShare        // by queue
	turnover           turnover                        // of the executors' capacity
	throughputs        map[string]*throughput          // by service
	jobSizes           map[string]*jobSizes            // by queue
	floors             map[string]*floor               // by queue
	floorsDecayed      time.Time                       // when floors were last made to forget
	candidates         []candidate                     // of the last sweep
	deferred           deferredCounts
	keepOrder          bool // no job is marked; tests compare with it
	reservations       []*reservation
	longestReservation time.Duration           // the longest wait of the reservations
	backlogged         bool                    // the last decision left tasks waiting
	slowPooled         bool                    // during a decision: an executor that accepts new work is slow
	paused             bool                    // no run may start
	adviceSlots        int                     // maximum number of pending requests to the adviser
	slowdowns          map[string]float64      // learned, by kind of hardware
	coldSlowdowns      map[string]coldSlowdown // learned, by kind of hardware
	estimateRatios     map[string]float64      // learned run times relative to the estimates, by queue
	newlyCold          []*executor             // their cold time begins with the next decision
	recordedClosed     []string                // executors that the last record names as closed, sorted
	recordedUnverified []string                // of these, executors that may have unrecorded runs, sorted
	maybeClosed        map[string]bool         // executors that the stored record may name as closed
	closedInDoubt      bool                    // a record was written without an answer, so that the last one may not be the stored one
	returns            map[string]zoneReturn   // by zone
	// inheritedClosed has the executors that the previous owner recorded as closed,
	// except those that may have unrecorded runs.
	inheritedClosed map[string]bool
	leaseEnds       map[string]time.Time // when the leases end on some executors that the previous owner closed
	forgotten       []string             // jobs that were forgotten, until TakeForgotten returns them
	wasted          [wasteCount]float64  // core-milliseconds of lost work that TakeWasted hasn't returned
	forecaster      forecaster
	orders          Orders // to be returned by Decide
}

// New returns an empty State with the given configuration, which may be nil.
func New(config *model.Config, opts ...Option) *State {
	s := &State{
		config:          config,
		remoteSlowdown:  1,
		quotaWindow:     defaultQuotaWindow,
		maxStopTime:     time.Second,
		jobs:            make(map[string]*job),
		executors:       make(map[string]*executor),
		zones:           make(map[string]int),
		teams:           make(map[string]*team),
		dirty:           make(map[string]*job),
		ended:           make(map[string]bool),
		slowdowns:       make(map[string]float64),
		coldSlowdowns:   make(map[string]coldSlowdown),
		estimateRatios:  make(map[string]float64),
		pendingAdvice:   make(map[model.StepID]pendingRequest),
		ticketsRequired: make(map[string]time.Time),
		maybeClosed:     make(map[string]bool),
		adviceSlots:     1,
		allowedShares:   make(map[string]*allowedShare),
		moveRequests:    make(map[*stage]moveRequests),
		returns:         make(map[string]zoneReturn),
		throughputs:     make(map[string]*throughput),
		jobSizes:        make(map[string]*jobSizes),
		floors:          make(map[string]*floor),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Configure replaces the configuration. Jobs whose queue it lacks keep the settings
// of their queue.
func (s *State) Configure(config *model.Config) {
	old := s.config
	s.config = config
	s.order.changeTerms()
	clear(s.ticketsRequired) // It may be the configuration that the executors have.
	for _, j := range s.jobs {
		j.updateQueue(config)
		if hasHint(config, j.spec.Queue) != hasHint(old, j.spec.Queue) {
			s.hintChanged(j)
		}
	}
}

// hasHint reports whether a queue is advised by a configuration, which may lack it or be nil.
func hasHint(config *model.Config, queue string) bool {
	return config != nil && config.Queues[queue].Advised
}

// configVersion returns the version of the configuration, 0 for none.
func (s *State) configVersion() int64 {
	if s.config == nil {
		return 0
	}
	return s.config.Version
}

// team returns the usage of a team and creates it if necessary.
func (s *State) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{}
		s.teams[name] = t
	}
	return t
}

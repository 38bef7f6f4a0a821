package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// State is all that decisions rest on.
type State struct {
	config   *model.Config
	far      float64
	window   time.Duration // over which teams' rates of submissions are taken
	slack    int           // jobs that a team may submit beyond its rate in that time
	stopTime time.Duration // that stopping a run takes at most
	base     int           // run numbers of this owner lie above it
	settle   time.Time     // until when unknown runs may exist
	avoided  string        // zone whose executors get no new work
	recorded string        // zone on whose executors all runs of earlier owners are recorded
	relist   time.Time     // until when an executor without an entry may have some
	complete bool          // all executors that have an entry are known
	jobs     map[string]*job
	execs    map[string]*worker
	teams    map[string]*team
	dirty    map[string]*job           // progress or phase not yet recorded
	ended    map[string]bool           // jobs that have ended and are recorded
	asking   map[model.StepID]question // questions to the adviser under way
	paused   bool                      // no run may start
	turns    int                       // hosts that can ask
	slowness map[string]float64        // learned, by kind of hardware
	closed   []string                  // executors that the last record names as closed, in order
	unsure   []string                  // of these, executors that may run what is not recorded, in order
	barred   map[string]bool           // executors that a record may name
	// closedBefore is the executors that the last owner had closed.
	closedBefore map[string]bool
	lapses       map[string]time.Time // when leases end at some of them
	over         []string             // jobs that were forgotten and not yet returned by Over
	orders       Orders               // collected between and during decisions
}

// New returns an empty State under config.
func New(config *model.Config, opts ...Option) *State {
	s := &State{
		config: config, far: 1, window: excessBurst, stopTime: time.Second, jobs: make(map[string]*job), execs: make(map[string]*worker),
		teams: make(map[string]*team), dirty: make(map[string]*job), ended: make(map[string]bool), slowness: make(map[string]float64), asking: make(map[model.StepID]question), barred: make(map[string]bool), turns: 1,
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
		j.refresh(config)
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

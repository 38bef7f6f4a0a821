package config

import (
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/parts"
)

// Snapshot is one version of the configuration with derived lookup tables. It
// is immutable and may be used concurrently.
type Snapshot struct {
	version uint64
	digest  string
	set     *Set
	data    []byte
	teams   []string
	weights map[string]float64
	limits  map[string]parts.Bound
	rules   map[string]Rule
	grace   time.Duration
}

// NewSnapshot returns set as a version. The set must have no faults (see
// Set.Check) and must not be changed afterwards.
func NewSnapshot(version uint64, set *Set) *Snapshot {
	return newSnapshot(version, set, set.Encode())
}

func newSnapshot(version uint64, set *Set, data []byte) *Snapshot {
	s := &Snapshot{
		version: version, digest: sumOf(data), set: set, data: data,
		weights: make(map[string]float64), limits: make(map[string]parts.Bound), rules: make(map[string]Rule),
	}
	x := indexTeams(set)
	s.rules[""] = defaultRule()
	for _, ref := range set.Refs() {
		switch o := set.objects[ref].(type) {
		case *Team:
			s.addTeam(x, o)
		case *Policy:
			s.rules[o.Name] = ruleOf(set, o)
		}
	}
	s.grace = s.longestGrace()
	return s
}

func (s *Snapshot) addTeam(x teamIndex, t *Team) {
	s.teams = append(s.teams, t.Name)
	if own, ok := x.ownLimit(t.Name); ok {
		s.limits[t.Name] = own.Bound()
	}
	if t.Parent == "" {
		x.addWeights(t.Name, x.shareWeight(t.Name), s.weights)
	}
}

// Load decodes a snapshot from the bytes that Data returned. The error is a
// *CorruptError if the SHA-256 of data is not digest, and an *InvalidError if
// data can't be parsed.
func Load(version uint64, digest string, data []byte) (*Snapshot, error) {
	if sum := sumOf(data); sum != digest {
		return nil, &CorruptError{Version: version, Want: digest, Got: sum}
	}
	set, faults := Parse(File{Data: data})
	if len(faults) > 0 {
		return nil, &InvalidError{Faults: faults}
	}
	clear(set.locations)
	return newSnapshot(version, set, data), nil
}

// Version returns the version number; the first version published is 1.
func (s *Snapshot) Version() uint64 { return s.version }

// Digest returns the SHA-256 of Data in hexadecimal.
func (s *Snapshot) Digest() string { return s.digest }

// Data returns the encoded set. The caller must not change it.
func (s *Snapshot) Data() []byte { return s.data }

// Set returns the objects. The caller must not change the set, but may change a
// Clone.
func (s *Snapshot) Set() *Set { return s.set }

// KeyTeam returns the team and the role of the key that secret belongs to; ok
// is false if there is no such key. The team of an operator's key may be empty.
func (s *Snapshot) KeyTeam(secret string) (team, role string, ok bool) {
	k := s.Key(secret)
	if k == nil {
		return "", "", false
	}
	if k.Operator() {
		return k.Team, string(RoleOperator), true
	}
	return k.Team, string(RoleCaller), true
}

// Key returns the key that secret belongs to, or nil.
func (s *Snapshot) Key(secret string) *Key {
	k, ok := s.set.objects[Ref{TypeKey, SecretName(secret)}].(*Key)
	if !ok {
		Digest("").Matches(secret) // An unknown name takes as long as a known one, so that timing reveals no names.
		return nil
	}
	if !k.Digest.Matches(secret) {
		return nil
	}
	return k
}

// Queue returns the queue of that name, with Bound filled in; ok is false if it
// doesn't exist.
func (s *Snapshot) Queue(name string) (Queue, bool) {
	q, ok := s.set.objects[Ref{TypeQueue, name}].(*Queue)
	if !ok {
		return Queue{}, false
	}
	out := *q
	if out.Bound == 0 {
		out.Bound = defaultBound
	}
	return out, true
}

// Teams returns the names of all teams in ascending order.
func (s *Snapshot) Teams() []string { return slices.Clone(s.teams) }

// Weight returns a team's weight relative to all other teams, after the
// division of each parent's weight among its children. It is 0 for an unknown
// team and for the empty one, which stands for callers without a key.
func (s *Snapshot) Weight(team string) float64 { return s.weights[team] }

// Limit returns the most that a team itself may have running across the fleet:
// its limit less those of its children. ok is false if the team has no limit.
func (s *Snapshot) Limit(team string) (limit parts.Bound, ok bool) {
	limit, ok = s.limits[team]
	return limit, ok
}

// Policy returns the policy of that name with all fields resolved; ok is false
// if it doesn't exist. The empty name returns the rule of queues without a
// policy.
func (s *Snapshot) Policy(name string) (Rule, bool) {
	r, ok := s.rules[name]
	return r, ok
}

// QueuePolicy returns the resolved policy of a queue, or the default rule if
// the queue doesn't exist.
func (s *Snapshot) QueuePolicy(queue string) Rule {
	q, _ := s.set.objects[Ref{TypeQueue, queue}].(*Queue)
	if q == nil {
		return s.rules[""]
	}
	return s.rules[q.Policy]
}

// Endpoints returns the endpoint objects in the order of their names.
func (s *Snapshot) Endpoints() []Endpoint {
	var out []Endpoint
	for _, ref := range s.set.Refs() {
		if e, ok := s.set.objects[ref].(*Endpoint); ok {
			out = append(out, *e)
		}
	}
	return out
}

// Grace returns the longest grace of any policy, including the default one.
func (s *Snapshot) Grace() time.Duration { return s.grace }

func (s *Snapshot) longestGrace() time.Duration {
	var longest time.Duration
	for _, r := range s.rules {
		longest = max(longest, r.grace)
	}
	return longest
}

package feed

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

const (
	verb = "feed"
	// pollTimeout bounds a poll of the feeder. A reply within a zone takes a few
	// milliseconds.
	pollTimeout = 300 * time.Millisecond
	// avoidTime is how long a feeder isn't polled after it didn't provide changes.
	avoidTime = 2 * time.Second
	// maxAge is the greatest age of usable changes. It covers a long poll of the feeder
	// without changes, and its gap. While the store is silent, hosts find out by themselves
	// that soon.
	maxAge = 800 * time.Millisecond
)

// Hosts lists the registered hosts.
type Hosts interface {
	Hosts() []board.Host
}

// Source provides the recent changes of a table; follow.Follower implements it.
type Source interface {
	// Changes returns the changes after a version, the version up to which they are
	// complete, and how long ago that was known. It returns false if it doesn't have all of
	// them.
	Changes(after int64) (rows []platform.Row, version int64, age time.Duration, ok bool)
}

// Feed polls the zone's feeder for changes and, on the feeder, replies to other hosts. It
// may be used concurrently.
type Feed struct {
	host    string
	zone    string
	node    *link.Node
	clock   *timer.Service
	hosts   Hosts
	sources map[string]Source // by table

	mu         sync.Mutex // guards the fields below
	avoided    string     // feeder that didn't provide changes
	avoidUntil time.Time
}

// New returns a Feed of host in zone. It has to be called before the node listens.
func New(host, zone string, node *link.Node, clock *timer.Service, hosts Hosts) *Feed {
	f := &Feed{host: host, zone: zone, node: node, clock: clock, hosts: hosts, sources: make(map[string]Source)}
	node.Handle(verb, link.HandlerFunc(f.serve))
	return f
}

// Offer makes this host provide the changes of a table. It must be called before the node
// listens.
func (f *Feed) Offer(table string, s Source) { f.sources[table] = s }

// Feeding reports whether this host is the feeder of its zone and another host depends on it.
func (f *Feed) Feeding() bool {
	peers := f.zoneHosts()
	return len(peers) > 1 && peers[0].Name == f.host
}

// zoneHosts returns the registered hosts of the zone, the feeder first: the one with most
// processor time. The order among equals is the same on all hosts.
func (f *Feed) zoneHosts() []board.Host {
	hosts := slices.DeleteFunc(f.hosts.Hosts(), func(h board.Host) bool { return h.Zone != f.zone })
	slices.SortFunc(hosts, func(a, b board.Host) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)))
	})
	return hosts
}

// Changes polls the feeder for the changes of a table after a version. Age is how long
// before the call was made the feeder was known to be complete up to the returned version,
// at most. The error is an *UnavailableError.
func (f *Feed) Changes(table string, after int64) (rows []platform.Row, version int64, age time.Duration, err error) {
	peers := f.zoneHosts()
	if len(peers) < 2 || peers[0].Name == f.host {
		return nil, 0, 0, &UnavailableError{}
	}
	feeder := peers[0]
	now := f.clock.Now()
	f.mu.Lock()
	avoided := f.avoided == feeder.Name && now.Before(f.avoidUntil)
	f.mu.Unlock()
	if avoided {
		return nil, 0, 0, &UnavailableError{Host: feeder.Name}
	}
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	var r reply
	err = f.node.Call(ctx, feeder.Link, verb, &request{Table: table, After: after}, &r)
	if err == nil && r.Usable && r.Age <= maxAge && r.Version >= after {
		return r.Rows, r.Version, r.Age, nil
	}
	f.mu.Lock()
	f.avoided, f.avoidUntil = feeder.Name, now.Add(avoidTime)
	f.mu.Unlock()
	return nil, 0, 0, &UnavailableError{Host: feeder.Name, Err: err}
}

// serve replies to a poll of another host.
func (f *Feed) serve(_ context.Context, s *link.Stream) error {
	var q request
	if err := s.Recv(&q); err != nil {
		return err
	}
	var r reply
	if source := f.sources[q.Table]; source != nil {
		r.Rows, r.Version, r.Age, r.Usable = source.Changes(q.After)
	}
	return s.Send(&r)
}

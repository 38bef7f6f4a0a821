package follow

import (
	"time"

	"github.com/balsamford/balsamford/platform"
)

// Feed provides changes of a table from another host, as feed.Feed does.
type Feed interface {
	// Changes returns the changes after a version and the version up to which they are
	// complete. Age is how long before the call that was known, at most.
	Changes(table string, after int64) (rows []platform.Row, version int64, age time.Duration, err error)
}

// shortPollWait replaces defaultPollWait while it matters how old the store's last answer is: other
// hosts depend on the changes and learn of an outage of the store from its age, or WithShortWait
// asks for it.
const shortPollWait = 300 * time.Millisecond

// FeedGap is the least gap with which a Follower takes changes from a feed. With a shorter one
// it needs them as soon as the store has them.
const FeedGap = time.Second

// WithFeed makes the Follower take changes from a feed, while it has any and the gap is at
// least FeedGap. Whole tables are read from the store.
func WithFeed(feed Feed) Option { return func(f *Follower) { f.feed = feed } }

// WithRecent makes the Follower keep recent changes for Changes while wanted returns true.
func WithRecent(wanted func() bool) Option { return func(f *Follower) { f.keepRecent = wanted } }

// Changes returns the changes after a version, for other hosts, the version up to which they
// are complete, and how long ago that was known. It returns false if it doesn't have them all
// or the table can't be followed. It may be called concurrently.
func (f *Follower) Changes(after int64) (rows []platform.Row, version int64, age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing || f.syncedBoot == 0 || f.feedAge > 0 || after > f.version {
		return nil, 0, 0, false
	}
	rows, ok = f.recent.after(after)
	return rows, f.version, f.clock.Boot() - f.syncedBoot, ok
}

// keep keeps changes up to version for other hosts. All is set after a read of the whole
// table.
func (f *Follower) keep(rows []platform.Row, version int64, all bool) {
	wanted := f.keepRecent != nil && f.keepRecent()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !wanted || all {
		f.recent.reset(version)
		return
	}
	f.recent.add(rows)
}

// changes returns the changes after version from the feed or, if it has none, the store.
func (f *Follower) changes(version int64) (rows []platform.Row, next int64, age time.Duration, err error) {
	f.mu.Lock()
	fromFeed := f.feed != nil && f.gap >= FeedGap
	f.mu.Unlock()
	wait := f.pollWait
	switch {
	case fromFeed:
		f.callSent(0)
		if rows, next, age, err = f.feed.Changes(f.table, version); err == nil {
			return rows, next, age, nil
		}
		wait = 0 // What the feed said last is old already.
	case f.keepRecent != nil && f.keepRecent(), f.shortWait != nil && f.shortWait():
		wait = shortPollWait
	}
	f.callSent(wait)
	rows, next, err = f.store.Watch(f.table, version, wait)
	return rows, next, 0, err
}

package config

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// historySize is of how many older versions a process knows what changed since,
// to send its peers changes instead of whole sets.
const historySize = 64

// offer is a head that was learnt, and how.
type offer struct {
	head Head
	// sent is when the read was sent that returned the head; counted is
	// false if it is unknown.
	sent  time.Duration
	timed bool
	// answered is true if sent is the moment of a question to all that may
	// publish, not of a read.
	byAnswers bool
	source    string // address of a peer that has the content; empty for the platform
}

// take deals with an offer: it confirms the current version, starts loading a
// newer one, or drops it.
func (f *Follower) handleOffer(ctx context.Context, o offer) {
	f.mu.Lock()
	have := f.Head()
	f.newestKnown = max(f.newestKnown, o.head.Version)
	switch {
	case o.head.Version < have.Version:
		f.counts.old.Inc(1)
		f.mu.Unlock()
		return
	case o.head.Version == have.Version:
		f.confirmLocked(o)
		f.mu.Unlock()
		return
	}
	if o.head.Version > f.pending.head.Version || o.head.Version == f.pending.head.Version && o.timed && (!f.pending.timed || o.sent > f.pending.sent) {
		f.pending = o
	}
	if f.loading {
		f.mu.Unlock()
		return
	}
	f.loading = true
	f.mu.Unlock()
	f.loadWanted(ctx)
}

// confirmLocked counts a read that returned the current version. A read that
// was sent before this process started confirms nothing, because an earlier
// process of this host may have confirmed a later version since; nor does one
// that was sent before the process was listed. Answers only prolong what a
// read has confirmed, since nobody waits for a process that wasn't listed when
// the version was written that the read would have shown.
func (f *Follower) confirmLocked(o offer) {
	if o.head.Digest != f.Head().Digest {
		f.counts.corrupt.Inc(1)
		return
	}
	if !o.timed || o.sent < f.membership.earliestRead || f.hasConfirmation && o.sent <= f.confirmedAt {
		return
	}
	if o.byAnswers && (!f.readSinceListed || f.newestKnown > o.head.Version) {
		return
	}
	f.confirmedAt, f.hasConfirmation, f.byAnswers = o.sent, true, o.byAnswers
	f.readSinceListed = f.readSinceListed || !o.byAnswers
}

// loadWanted loads the newest version offered until there is none newer than
// the current one, or loading fails.
func (f *Follower) loadWanted(ctx context.Context) {
	for {
		f.mu.Lock()
		o := f.pending
		if o.head.Version <= f.Head().Version {
			f.loading = false
			f.mu.Unlock()
			return
		}
		f.mu.Unlock()
		head, snap, err := f.load(ctx, o)
		if err != nil {
			f.counts.failed.Inc(1)
			f.log.Warn("configuration not loaded", zap.Uint64("version", o.head.Version), zap.Error(err))
			f.mu.Lock()
			f.loading = false
			f.pending = offer{}
			f.mu.Unlock()
			return
		}
		f.apply(head, snap, o)
	}
}

// apply makes snap the current version if it is newer, confirms it if the
// offer was for it, and tells subscribers and peers. The read that confirmed
// the version before goes on to count: it showed that there was no version
// newer than that one, so none newer than this one.
func (f *Follower) apply(head Head, snap *Snapshot, o offer) {
	f.mu.Lock()
	old := f.current.Load()
	if old != nil && old.head.Version >= head.Version {
		f.mu.Unlock()
		return
	}
	if old != nil {
		f.history = append(f.history, olderVersion{digest: old.snap.Digest(), changed: changedRefs(old.snap.Set(), snap.Set())})
		f.history = f.history[max(0, len(f.history)-historySize):]
	}
	f.current.Store(&applied{head: head, snap: snap})
	if o.head.Version == head.Version {
		f.confirmLocked(o)
	}
	watchers := append([]*subscriber(nil), f.subscribers...)
	f.mu.Unlock()
	f.counts.applied.Inc(1)
	f.log.Info("configuration applied", zap.Uint64("version", head.Version), zap.String("digest", head.Digest))
	for _, w := range watchers {
		w.notify(snap)
	}
	f.queueAnnouncement(head)
}

// adopt applies a version whose content this process has published itself.
func (f *Follower) applyPublished(head Head, snap *Snapshot) { f.apply(head, snap, offer{head: head}) }

// spread lets Run tell peers of head, or of a newer one that comes up before.
func (f *Follower) queueAnnouncement(head Head) {
	for {
		select {
		case f.announcements <- head:
			return
		default:
		}
		select {
		case waiting := <-f.announcements:
			if waiting.Version > head.Version {
				head = waiting
			}
		default:
		}
	}
}

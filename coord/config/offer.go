package config

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// historySize is the number of older versions for which a process keeps the
// list of changed objects. A peer at one of these versions is sent a change
// instead of the whole set.
const historySize = 64

// offer is a head that this process has learnt of, and how recently it was the
// newest.
type offer struct {
	head Head
	// sent is when the read was sent that returned the head, on the timer's
	// Boot; timed is false if that is unknown.
	sent  time.Duration
	timed bool
	// byAnswers is true if sent is when the writers were asked (see Question),
	// rather than when a read was sent.
	byAnswers bool
	source    string // address of a peer that has the content; empty for the platform
}

// handleOffer drops an offer of an older version, confirms the current version,
// or starts loading a newer one.
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
	f.loadPending(ctx)
}

// confirmLocked records that no version newer than the current one had been
// accepted when a read, or a query of the writers, was sent. It ignores one that was sent before this
// process was listed, or before it started, because an earlier process of the
// same name may have confirmed a later version since.
//
// The writers' answers count only after a read has confirmed a version since the
// process was listed. A version that was published before that may have been
// accepted without waiting for this process, and only a read is sure to show it.
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

// loadPending loads the newest version offered, and repeats until no offered
// version is newer than the current one or loading fails.
func (f *Follower) loadPending(ctx context.Context) {
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

// apply makes snap the current version if it is newer, confirms it if the offer
// was for it, and notifies subscribers and peers. The confirmation of the
// previous version stays valid: the read showed that no version newer than that
// one existed, and therefore none newer than this one.
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
	subscribers := append([]*subscriber(nil), f.subscribers...)
	f.mu.Unlock()
	f.counts.applied.Inc(1)
	f.log.Info("configuration applied", zap.Uint64("version", head.Version), zap.String("digest", head.Digest))
	for _, w := range subscribers {
		w.notify(snap)
	}
	f.queueAnnouncement(head)
}

// applyPublished applies a version that this process has published itself.
func (f *Follower) applyPublished(head Head, snap *Snapshot) { f.apply(head, snap, offer{head: head}) }

// queueAnnouncement passes head to Run, which announces it to peers. If an
// announcement is still waiting, only the newer of the two is kept.
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

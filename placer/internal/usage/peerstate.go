package usage

import (
	"time"

	"github.com/balsamford/balsamford/placer/internal/share"
)

// peerState is the state of the exchange with one peer.
type peerState struct {
	epoch        uint64        // of the peer's process, from its latest summary
	sentRevision uint64        // revision that the peer has; 0 if none
	sentAt       time.Duration // Exchange.elapsed when it was sent
}

// due returns the peers that need a summary now, and drops the state of those
// that aren't peers any more.
func (x *Exchange) due(peers []Peer) []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	kept := make(map[string]*peerState, len(peers))
	out := make([]Peer, 0, len(peers))
	for _, p := range peers {
		state := x.peerStates[p.Name]
		if state == nil {
			state = &peerState{}
		}
		kept[p.Name] = state
		if state.sentRevision != x.revision || x.elapsed-state.sentAt >= share.Period {
			out = append(out, p)
		}
	}
	x.peerStates = kept
	return out
}

// markSent records that a peer has the latest summary.
func (x *Exchange) markSent(p Peer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if state := x.peerStates[p.Name]; state != nil {
		state.sentRevision, state.sentAt = x.revision, x.elapsed
	}
}

// markSeen records the epoch of a peer from its summary. A new process has
// received nothing yet.
func (x *Exchange) markSeen(s *share.Summary) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if state := x.peerStates[s.Placer]; state != nil && s.Epoch > state.epoch {
		state.epoch, state.sentRevision = s.Epoch, 0
	}
}

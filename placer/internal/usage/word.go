package usage

import (
	"time"

	"github.com/balsamford/balsamford/placer/internal/share"
)

// lastWord is what a peer was told last, and which of its processes is known.
type lastWord struct {
	epoch uint64        // of its last summary
	state uint64        // of what it was told; zero if that doesn't count
	at    time.Duration // when it was told
}

// due returns which peers need a summary now, and forgets those that aren't
// peers any more.
func (x *Exchange) due(peers []Peer) []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	kept := make(map[string]*lastWord, len(peers))
	out := make([]Peer, 0, len(peers))
	for _, p := range peers {
		w := x.told[p.Name]
		if w == nil {
			w = &lastWord{}
		}
		kept[p.Name] = w
		if w.state != x.state || x.age-w.at >= share.Period {
			out = append(out, p)
		}
	}
	x.told = kept
	return out
}

// took notes that a peer has the latest summary.
func (x *Exchange) took(p Peer) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if w := x.told[p.Name]; w != nil {
		w.state, w.at = x.state, x.age
	}
}

// heard notes which process of a peer spoke: a new one knows nothing yet.
func (x *Exchange) heard(s *share.Summary) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if w := x.told[s.Placer]; w != nil && s.Epoch > w.epoch {
		w.epoch, w.state = s.Epoch, 0
	}
}

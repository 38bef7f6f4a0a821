package record

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
)

const (
	// idBase is the base in which numbers in ids are written.
	idBase = 36
	// idParts is the number of parts of an issued id.
	idParts = 4
	// idSep separates the parts; it isn't allowed in own ids and names.
	idSep = "."
	// ownSep stands between the team and an own id.
	ownSep = "~"
	// countBits is how many bits of an id's number count within one second.
	countBits = 20
	// maxOwn is the length of a caller's own id in bytes, at most.
	maxOwn = 64
	// ownChars are the characters of a caller's own id.
	ownChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
)

// Issued is what an issued id says of itself.
type Issued struct {
	Zone  string
	Host  string
	Epoch uint64 // start of the issuing process in Unix milliseconds
	At    time.Time
}

// Issuer makes ids. It may be used concurrently.
type Issuer struct {
	zone, host string
	clock      *timer.Service
	start      time.Time
	epoch      uint64
	count      atomic.Uint64
}

// NewIssuer returns an Issuer for the process that starts now on the host.
func NewIssuer(clock *timer.Service, zone, host string) *Issuer {
	now := clock.Now()
	return &Issuer{zone: zone, host: host, clock: clock, start: now, epoch: uint64(now.UnixMilli())}
}

// Epoch returns the start of the process in Unix milliseconds.
func (s *Issuer) Epoch() uint64 { return s.epoch }

// Issue returns a new id whose home is the zone of this process.
func (s *Issuer) Issue() string { return s.IssueIn(s.zone) }

// IssueIn returns a new id whose home is the given zone.
func (s *Issuer) IssueIn(zone string) string {
	second := uint64(s.clock.Now().Sub(s.start) / time.Second)
	n := second<<countBits | s.count.Add(1)&(1<<countBits-1)
	return strings.Join([]string{zone, s.host, strconv.FormatUint(s.epoch, idBase), strconv.FormatUint(n, idBase)}, idSep)
}

// ParseIssued reads an issued id; it reports false for any other text.
func ParseIssued(id string) (Issued, bool) {
	parts := strings.Split(id, idSep)
	if len(parts) != idParts {
		return Issued{}, false
	}
	epoch, err := strconv.ParseUint(parts[2], idBase, 64)
	if err != nil {
		return Issued{}, false
	}
	n, err := strconv.ParseUint(parts[3], idBase, 64)
	if err != nil {
		return Issued{}, false
	}
	at := time.UnixMilli(int64(epoch)).Add(time.Duration(n>>countBits) * time.Second)
	return Issued{Zone: parts[0], Host: parts[1], Epoch: epoch, At: at}, true
}

// Own returns the id under which a team's own id is known in the system; it
// reports false if the text can't be an id.
func Own(team, id string) (string, bool) {
	if id == "" || len(id) > maxOwn || strings.Trim(id, ownChars) != "" {
		return "", false
	}
	return team + ownSep + id, true
}

// Shown returns an id as its caller knows it.
func Shown(id string) string {
	if i := strings.LastIndex(id, ownSep); i >= 0 {
		return id[i+1:]
	}
	return id
}

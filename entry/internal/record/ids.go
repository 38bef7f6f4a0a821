package record

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
)

const (
	// idBase is the base of the numbers in ids.
	idBase = 36
	// issuedParts is the number of parts in an issued id.
	issuedParts = 4
	// idSep separates the parts; it isn't allowed in caller-supplied ids and names.
	idSep = "."
	// callerIDSep separates the team from a caller-supplied id.
	callerIDSep = "~"
	// counterBits is the number of low bits in an id's number that count ids within
	// one second; the bits above are seconds since the process started.
	counterBits = 20
	// maxCallerIDBytes is the maximum length of a caller-supplied id.
	maxCallerIDBytes = 64
	// callerIDChars are the characters allowed in a caller-supplied id.
	callerIDChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"
)

// Issued is the information encoded in an issued id.
type Issued struct {
	Zone  string
	Host  string
	Epoch uint64 // start of the issuing process in Unix milliseconds
	At    time.Time
}

// Issuer creates unique ids. Its methods may be called concurrently.
type Issuer struct {
	zone, host string
	clock      *timer.Service
	start      time.Time
	epoch      uint64
	counter    atomic.Uint64
}

// NewIssuer returns an Issuer for this process on the host. Its epoch is the
// current time.
func NewIssuer(clock *timer.Service, zone, host string) *Issuer {
	now := clock.Now()
	return &Issuer{zone: zone, host: host, clock: clock, start: now, epoch: uint64(now.UnixMilli())}
}

// Epoch returns the start time of the process in Unix milliseconds.
func (s *Issuer) Epoch() uint64 { return s.epoch }

// Issue returns a new id whose home is the zone of this process.
func (s *Issuer) Issue() string { return s.IssueIn(s.zone) }

// IssueIn returns a new id whose home is the given zone.
func (s *Issuer) IssueIn(zone string) string {
	second := uint64(s.clock.Now().Sub(s.start) / time.Second)
	n := second<<counterBits | s.counter.Add(1)&(1<<counterBits-1)
	return strings.Join([]string{zone, s.host, strconv.FormatUint(s.epoch, idBase), strconv.FormatUint(n, idBase)}, idSep)
}

// ParseIssued decodes an issued id. It returns false if id has another format.
func ParseIssued(id string) (Issued, bool) {
	parts := strings.Split(id, idSep)
	if len(parts) != issuedParts {
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
	at := time.UnixMilli(int64(epoch)).Add(time.Duration(n>>counterBits) * time.Second)
	return Issued{Zone: parts[0], Host: parts[1], Epoch: epoch, At: at}, true
}

// ScopedID returns the system-wide id for an id that a caller of the team supplied.
// It returns false if the supplied id is empty, too long or has a character that
// isn't allowed.
func ScopedID(team, id string) (string, bool) {
	if id == "" || len(id) > maxCallerIDBytes || strings.Trim(id, callerIDChars) != "" {
		return "", false
	}
	return team + callerIDSep + id, true
}

// CallerID returns an id in the form that its caller uses: without the team's
// prefix if the caller supplied it.
func CallerID(id string) string {
	if i := strings.LastIndex(id, callerIDSep); i >= 0 {
		return id[i+1:]
	}
	return id
}

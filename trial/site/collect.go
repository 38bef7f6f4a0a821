package site

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/standin/engine"
	"github.com/balsamford/balsamford/trial/judge"
)

// watchInterval is the pause between two reads of the configuration versions.
const watchInterval = 300 * time.Millisecond

// Events returns the log events of all endpoints. It reads one log for each
// zone, since the endpoints of a zone share a process and its log. The error is
// a *LogError.
func (s *Site) Events() ([]engine.Event, error) {
	events := make([]engine.Event, 0)
	zones := make(map[string]bool)
	for _, e := range s.cell.Endpoints() {
		if zones[e.Zone] {
			continue
		}
		zones[e.Zone] = true
		_, body, err := s.status.get(e.Address, point.PathLog)
		if err != nil {
			return nil, &LogError{Address: e.Address, Err: err}
		}
		dec := json.NewDecoder(bytes.NewReader(body))
		for {
			var ev engine.Event
			err := dec.Decode(&ev)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				return nil, &LogError{Address: e.Address, Err: err}
			}
			events = append(events, ev)
		}
	}
	return events, nil
}

// WatchVersions polls the entries until ctx is done and returns the
// configuration versions that they reported as in force.
func (s *Site) WatchVersions(ctx context.Context) []judge.Version {
	versions := make([]judge.Version, 0)
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		for _, h := range s.cell.EntryHosts() {
			seen := time.Now()
			fresh := s.status.notReadyReason(h.StatusAddress) == ""
			if v := s.status.version(h.StatusAddress); v > 0 {
				versions = append(versions, judge.Version{Host: h.Host, Seen: seen, Version: v, Fresh: fresh})
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return versions
		}
	}
}

// LogError reports an endpoint log that can't be read or decoded.
type LogError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *LogError) Error() string { return "log of " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.Err }

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

// watchTime is how often the versions in force are looked at.
const watchTime = 300 * time.Millisecond

// Events returns the logs of all endpoints. Those of one zone share a log.
func (s *Site) Events() ([]engine.Event, error) {
	events := make([]engine.Event, 0)
	zones := make(map[string]bool)
	for _, e := range s.cell.Endpoints() {
		if zones[e.Zone] {
			continue
		}
		zones[e.Zone] = true
		_, body, err := s.pages.get(e.Address, point.PathLog)
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

// Watch notes the configuration versions that entries have in force, until
// ctx ends.
func (s *Site) WatchVersions(ctx context.Context) []judge.Version {
	versions := make([]judge.Version, 0)
	tick := time.NewTicker(watchTime)
	defer tick.Stop()
	for {
		for _, d := range s.cell.EntryHosts() {
			seen := time.Now()
			fresh := s.pages.ready(d.StatusAddress) == ""
			if v := s.pages.version(d.StatusAddress); v > 0 {
				versions = append(versions, judge.Version{Host: d.Host, Seen: seen, Version: v, Fresh: fresh})
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return versions
		}
	}
}

// LogError reports an endpoint's log that can't be read.
type LogError struct {
	Address string
	Err     error
}

// Error implements error.
func (e *LogError) Error() string { return "log of " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.Err }

package main

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/platform"
)

// settingsPeriod is how often it is looked whether the settings file has changed, which
// may happen without a signal.
const settingsPeriod = 2 * time.Second

// settings is the settings in force. A changed file takes effect while the process
// runs, but for the addresses that it serves, its name and its place; one that isn't
// in order leaves the settings as they are. It may be used concurrently.
type settings struct {
	path   string
	clock  *timer.Service
	logger *zap.Logger
	now    atomic.Pointer[platform.Settings]
	apply  func(s *platform.Settings) // carries a change out
}

func newSettings(path string, first *platform.Settings, clock *timer.Service, logger *zap.Logger, apply func(s *platform.Settings)) *settings {
	s := &settings{path: path, clock: clock, logger: logger, apply: apply}
	s.now.Store(first)
	return s
}

// Now returns the settings in force.
func (s *settings) Now() *platform.Settings { return s.now.Load() }

// Bounds returns the bounds in force.
func (s *settings) Bounds() platform.Bounds { return s.Now().Bounds }

// Run looks for changes of the file until ctx ends. The first look reads it in any
// case, since it may have changed after the process read it. Run always returns nil, so
// that it can be a member of a group.
func (s *settings) Run(ctx context.Context) error {
	var last time.Time
	for s.clock.Sleep(ctx, settingsPeriod) == nil {
		if at := s.changed(); !at.Equal(last) {
			last = at
			s.Reload()
		}
	}
	return nil
}

// changed returns when the file was last written, the zero time if that isn't known.
func (s *settings) changed() time.Time {
	info, err := os.Stat(s.path)
	if err != nil {
		return time.Time{} // Reading it tells why.
	}
	return info.ModTime()
}

// Reload reads the file and puts it in force.
func (s *settings) Reload() {
	old := s.Now()
	next, err := platform.LoadSettings(s.path)
	if err != nil {
		s.logger.Error("settings left as they are", zap.Error(err))
		return
	}
	if *next == *old {
		s.logger.Info("settings read", zap.Bool("changed", false))
		return
	}
	restart := next.Fixed() != old.Fixed()
	next.CopyFixed(old)
	s.now.Store(next)
	s.apply(next)
	s.logger.Info("settings read", zap.Bool("changed", true), zap.Bool("restart", restart), zap.String("store", next.Store), zap.String("adviser", next.Adviser),
		zap.Duration("lease", next.Bounds.Lease), zap.Duration("stop", next.Bounds.Stop))
}

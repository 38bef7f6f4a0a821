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

// settingsPollPeriod is how often the settings file is checked for changes, since not every
// change is followed by a signal.
const settingsPollPeriod = 2 * time.Second

// settings holds the settings in force. Changes of the file are applied while the process
// runs, except those of the fields of platform.Fixed, such as its name, its zone and the
// addresses that it serves. An invalid file changes nothing. It may be used concurrently.
type settings struct {
	path    string
	clock   *timer.Service
	logger  *zap.Logger
	current atomic.Pointer[platform.Settings]
	apply   func(s *platform.Settings) // called with changed settings
}

func newSettings(path string, first *platform.Settings, clock *timer.Service, logger *zap.Logger, apply func(s *platform.Settings)) *settings {
	s := &settings{path: path, clock: clock, logger: logger, apply: apply}
	s.current.Store(first)
	return s
}

// Current returns the settings in force.
func (s *settings) Current() *platform.Settings { return s.current.Load() }

// Bounds returns the bounds in force.
func (s *settings) Bounds() platform.Bounds { return s.Current().Bounds }

// Run polls the file for changes until ctx ends. The first poll that finds the file reads
// it, since it may have changed after the process read it at startup. Run always returns
// nil, so that it can run in an errgroup.
func (s *settings) Run(ctx context.Context) error {
	var last time.Time
	for s.clock.Sleep(ctx, settingsPollPeriod) == nil {
		if at := s.modTime(); !at.Equal(last) {
			last = at
			s.Reload()
		}
	}
	return nil
}

// modTime returns the modification time of the file, or the zero time on an error.
func (s *settings) modTime() time.Time {
	info, err := os.Stat(s.path)
	if err != nil {
		return time.Time{} // It differs from an earlier time, so that Reload logs the error.
	}
	return info.ModTime()
}

// Reload reads the file and applies it.
func (s *settings) Reload() {
	old := s.Current()
	next, err := platform.LoadSettings(s.path)
	if err != nil {
		s.logger.Error("settings not reloaded", zap.Error(err))
		return
	}
	if *next == *old {
		s.logger.Info("settings read", zap.Bool("changed", false))
		return
	}
	restart := next.Fixed() != old.Fixed()
	next.Keep(old)
	s.current.Store(next)
	s.apply(next)
	s.logger.Info("settings read", zap.Bool("changed", true), zap.Bool("restart", restart), zap.String("store", next.Store), zap.String("adviser", next.Adviser),
		zap.Duration("lease", next.Bounds.Lease), zap.Duration("stop", next.Bounds.Stop))
}

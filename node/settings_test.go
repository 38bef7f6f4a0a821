package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/platform"
)

const settingsText = `node = "h"
zone = "z"
ip = "127.0.0.1"
port_range = [7000,7010]
hint = "127.0.0.1:2"
[listen]
front = "127.0.0.1:3"
ready = "127.0.0.1:4"
[platform]
addr = "127.0.0.1:1"
[bounds]
grace_s = 6
hold_max_ms = 4000
status_s = 120
`

// replace atomically replaces the file at path by one with another modification time.
func replace(t *testing.T, path, text string) {
	t.Helper()
	is := is.New(t)
	next := path + ".next"
	is.NoErr(os.WriteFile(next, []byte(text), 0o600))
	is.NoErr(os.Chtimes(next, time.Time{}, time.Now().Add(time.Hour)))
	is.NoErr(os.Rename(next, path))
}

// advanceUntil advances clock until done returns true. It returns false if that takes more
// than ten seconds of real time.
func advanceUntil(clock *timer.Service, done func() bool) bool {
	for end := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
		clock.Advance(settingsPollPeriod)
	}
	return true
}

// A changed settings file is applied, with a signal or by polling. Settings that a running
// process can't change stay the same, and an invalid file changes nothing.
func TestSettingsChange(t *testing.T) {
	tests := map[string]struct {
		edit    func(text string) string
		applied int64
		check   func(s *platform.Settings) bool
	}{
		"unchanged": {edit: func(text string) string { return text }, check: func(s *platform.Settings) bool { return s.Bounds.Status == 2*time.Minute }},
		"bounds": {
			edit:    func(text string) string { return strings.Replace(text, "status_s = 120", "status_s = 60", 1) },
			applied: 1, check: func(s *platform.Settings) bool { return s.Bounds.Status == time.Minute },
		},
		"address of the adviser": {
			edit:    func(text string) string { return strings.Replace(text, "127.0.0.1:2", "127.0.0.1:9", 1) },
			applied: 1, check: func(s *platform.Settings) bool { return s.Adviser == "127.0.0.1:9" },
		},
		"fixed address": {
			edit:    func(text string) string { return strings.Replace(text, "127.0.0.1:3", "127.0.0.1:8", 1) },
			applied: 1, check: func(s *platform.Settings) bool { return s.Ingress == "127.0.0.1:3" },
		},
		"invalid file": {
			edit:  func(text string) string { return strings.Replace(text, "status_s = 120", "status_s = ", 1) },
			check: func(s *platform.Settings) bool { return s.Bounds.Status == 2*time.Minute },
		},
		"missing bound": {
			edit:    func(text string) string { return strings.Replace(text, "hold_max_ms = 4000\n", "", 1) },
			applied: 1, check: func(s *platform.Settings) bool { return s.Bounds.Lease == 6*time.Second },
		},
	}
	for name, tt := range tests {
		for trigger, signal := range map[string]bool{"by signal": true, "by polling": false} {
			t.Run(name+" "+trigger, func(t *testing.T) {
				is := is.New(t)
				path := filepath.Join(t.TempDir(), "settings.toml")
				is.NoErr(os.WriteFile(path, []byte(settingsText), 0o600))
				first, err := platform.LoadSettings(path)
				is.NoErr(err)
				clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
				core, lines := observer.New(zap.InfoLevel)
				var applied atomic.Int64
				s := newSettings(path, first, clock, zap.New(core), func(*platform.Settings) { applied.Add(1) })
				var g errgroup.Group
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if !signal {
					g.Go(func() error { return s.Run(ctx) })
					is.True(advanceUntil(clock, func() bool { return lines.Len() > 0 })) // The first poll.
				}
				logged := lines.Len()
				replace(t, path, tt.edit(settingsText))
				if signal {
					s.Reload()
				} else {
					is.True(advanceUntil(clock, func() bool { return lines.Len() > logged }))
				}
				cancel()
				is.NoErr(g.Wait())
				is.Equal(applied.Load(), tt.applied)
				is.True(tt.check(s.Current()))
			})
		}
	}
}

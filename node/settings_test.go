package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
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

// A changed file takes effect, with a signal or without; what a process can't change
// while it runs stays, and a file that isn't in order changes nothing.
func TestSettingsChange(t *testing.T) {
	tests := map[string]struct {
		edit    func(text string) string
		applied int
		check   func(s *platform.Settings) bool
	}{
		"unchanged": {edit: func(text string) string { return text }, check: func(s *platform.Settings) bool { return s.Bounds.Status == 2*time.Minute }},
		"bounds": {
			edit:    func(text string) string { return strings.Replace(text, "status_s = 120", "status_s = 60", 1) },
			applied: 1, check: func(s *platform.Settings) bool { return s.Bounds.Status == time.Minute },
		},
		"the adviser moves": {
			edit:    func(text string) string { return strings.Replace(text, "127.0.0.1:2", "127.0.0.1:9", 1) },
			applied: 1, check: func(s *platform.Settings) bool { return s.Adviser == "127.0.0.1:9" },
		},
		"an address that it serves": {
			edit:    func(text string) string { return strings.Replace(text, "127.0.0.1:3", "127.0.0.1:8", 1) },
			applied: 1, check: func(s *platform.Settings) bool { return s.Ingress == "127.0.0.1:3" },
		},
		"not in order": {
			edit:  func(text string) string { return strings.Replace(text, "status_s = 120", "status_s = ", 1) },
			check: func(s *platform.Settings) bool { return s.Bounds.Status == 2*time.Minute },
		},
		"a bound is missing": {
			edit:    func(text string) string { return strings.Replace(text, "hold_max_ms = 4000\n", "", 1) },
			applied: 1, check: func(s *platform.Settings) bool { return s.Bounds.Lease == 6*time.Second },
		},
	}
	for name, tt := range tests {
		for way, signal := range map[string]bool{"by signal": true, "without": false} {
			t.Run(name+" "+way, func(t *testing.T) {
				is := is.New(t)
				path := filepath.Join(t.TempDir(), "settings.toml")
				is.NoErr(os.WriteFile(path, []byte(settingsText), 0o600))
				first, err := platform.LoadSettings(path)
				is.NoErr(err)
				clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
				applied := 0
				s := newSettings(path, first, clock, zap.NewNop(), func(*platform.Settings) { applied++ })
				var g errgroup.Group
				ctx, cancel := context.WithCancel(context.Background())
				if !signal {
					looked := make(chan struct{})
					g.Go(func() error { close(looked); return s.Run(ctx) })
					<-looked
					time.Sleep(20 * time.Millisecond) // Its first look, of which nothing tells.
				}
				is.NoErr(os.WriteFile(path, []byte(tt.edit(settingsText)), 0o600))
				is.NoErr(os.Chtimes(path, time.Time{}, time.Now().Add(time.Hour)))
				if signal {
					s.Reload()
				} else {
					clock.Advance(2 * settingsPeriod)
					for end := time.Now().Add(5 * time.Second); applied < tt.applied && time.Now().Before(end); time.Sleep(time.Millisecond) {
					}
				}
				cancel()
				is.NoErr(g.Wait())
				is.Equal(applied, tt.applied)
				is.True(tt.check(s.Now()))
			})
		}
	}
}

package whole

import (
	"bytes"
	"context"
	"debug/elf"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/trial/cell"
	"github.com/balsamford/balsamford/trial/internal/demo"
	"github.com/balsamford/balsamford/trial/internal/faults"
	"github.com/balsamford/balsamford/trial/internal/pace"
	"github.com/balsamford/balsamford/trial/site"
)

// objectsPath is the path of the sample configuration of Trilha Viva.
const objectsPath = "../../../deploy/trilha.toml"

// trialTimeout bounds one trial.
const trialTimeout = 8 * time.Minute

// programNames returns the names of the programs to build.
func programNames() []string { return []string{"entry", "placer", "balsam", "standin", "trial"} }

// buildPrograms builds all programs and returns their directory.
func buildPrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	is.New(t).NoErr(cell.Build(context.Background(), dir, programNames()...))
	return dir
}

func settings(t *testing.T, binaries string) site.Settings {
	t.Helper()
	return site.Settings{Dir: t.TempDir(), Binaries: binaries, Objects: objectsPath, Spec: cell.Small()}
}

// Each program is dynamically linked with the C library.
func TestProgramsLinkTheCLibrary(t *testing.T) {
	is := is.New(t)
	dir := buildPrograms(t)
	for _, name := range programNames() {
		f, err := elf.Open(filepath.Join(dir, name))
		is.NoErr(err)
		libraries, err := f.ImportedLibraries()
		is.NoErr(err)
		is.NoErr(f.Close())
		found := false
		for _, l := range libraries {
			found = found || strings.HasPrefix(l, "libc.")
		}
		is.True(found) // the program imports libc
	}
}

// Sends requests of all kinds through a whole deployment: every request is done,
// no invariant is violated (each answer has the bytes of its own request), and
// each process stops gracefully.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	var out bytes.Buffer
	findings, table, err := demo.Run(ctx, demo.Settings{Site: settings(t, buildPrograms(t)), Count: 300, Rate: 60, Seed: 11}, &out)
	t.Log(out.String())
	is.NoErr(err)
	is.Equal(len(findings), 0)
	for _, kind := range []string{"quick", "service", "batch", "gang"} {
		sent, done := table.Counts(kind, "done")
		is.True(sent > 0)
		is.Equal(done, sent)
	}
}

// Restarts all hosts one after another under load. No request may be lost.
func TestReplacedHostsLoseNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("a replacement of all hosts is too long for -short")
	}
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	var out bytes.Buffer
	counts, err := pace.Run(ctx, pace.Settings{Site: settings(t, buildPrograms(t)), Rate: 40, Only: []string{pace.Replace}}, &out)
	t.Log(out.String())
	is.NoErr(err)
	is.True(counts[pace.Replace].Sent > 0)
	is.Equal(counts[pace.Replace].Done, counts[pace.Replace].Sent)
}

// Runs a deployment under seeded faults of every kind.
func TestSeededFaults(t *testing.T) {
	runUnderFaults(t, faults.Settings{Time: 25 * time.Second, Rate: 40, Seed: 1})
}

// Suspends the endpoints of a zone longer than every lease. When they resume,
// they receive all messages sent in the meantime and must reject those of
// expired leases.
func TestPausedEndpoints(t *testing.T) {
	runUnderFaults(t, faults.Settings{Time: 14 * time.Second, Rate: 60, Seed: 7, Only: []faults.Kind{faults.Rack}})
}

// Lowers teams' limits to a few tasks under load while entries and placers are
// killed. A limit must hold once the operator API has confirmed it.
func TestLoweredLimits(t *testing.T) {
	runUnderFaults(t, faults.Settings{Time: 14 * time.Second, Rate: 60, Seed: 3, Only: []faults.Kind{faults.Limit, faults.Kill}})
}

// Uses endpoints that don't fence former owners, so that only the owners' terms
// prevent two owners. Terms can't stop a start that reaches a suspended endpoint
// late (docs/DESIGN.md), so no fault here suspends endpoints.
func TestClockFence(t *testing.T) {
	s := faults.Settings{Time: 14 * time.Second, Rate: 40, Seed: 2, Only: []faults.Kind{faults.Kill, faults.Pause, faults.Replace, faults.Platform, faults.Cut}}
	s.Site.Spec.Fence = string(point.FenceClock)
	runUnderFaults(t, s)
}

// runUnderFaults runs a deployment under faults and fails the test if an
// invariant is violated.
func runUnderFaults(t *testing.T, s faults.Settings) {
	t.Helper()
	if testing.Short() {
		t.Skip("a fault run is too long for -short")
	}
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	fence := s.Site.Spec.Fence
	s.Site = settings(t, buildPrograms(t))
	s.Site.Spec.Fence = fence
	var out bytes.Buffer
	findings, err := faults.Run(ctx, s, &out)
	t.Log(out.String())
	is.NoErr(err)
	for _, f := range findings {
		t.Log("broken", f)
	}
	is.Equal(len(findings), 0)
}

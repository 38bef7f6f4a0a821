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

// objects are the sample configuration of Trilha Viva.
const objects = "../../../deploy/trilha.toml"

// patience bounds one trial.
const patience = 8 * time.Minute

// programs are all that are built.
func programs() []string { return []string{"entry", "placer", "balsam", "standin", "trial"} }

// build builds all programs and returns their directory.
func build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	is.New(t).NoErr(cell.Build(context.Background(), dir, programs()...))
	return dir
}

func settings(t *testing.T, binaries string) site.Settings {
	t.Helper()
	return site.Settings{Dir: t.TempDir(), Binaries: binaries, Objects: objects, Spec: cell.Small()}
}

// Each program is linked to the C library.
func TestProgramsLinkTheCLibrary(t *testing.T) {
	is := is.New(t)
	dir := build(t)
	for _, name := range programs() {
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

// All processes, real requests of all kinds: each answer has the bytes that
// its own request asked for, no promise is broken, and each process ends by
// itself with success.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var out bytes.Buffer
	findings, table, err := demo.Run(ctx, demo.Settings{Site: settings(t, build(t)), Count: 300, Rate: 60, Seed: 11}, &out)
	t.Log(out.String())
	is.NoErr(err)
	is.Equal(len(findings), 0)
	for _, kind := range []string{"quick", "service", "batch", "gang"} {
		sent, done := table.Counts(kind, "done")
		is.True(sent > 0)
		is.Equal(done, sent)
	}
}

// All hosts are stopped and started again one after another under load, and no
// request is lost: the target is none.
func TestReplacedHostsLoseNothing(t *testing.T) {
	if testing.Short() {
		t.Skip("a replacement of all hosts is too long for -short")
	}
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var out bytes.Buffer
	counts, err := pace.Run(ctx, pace.Settings{Site: settings(t, build(t)), Rate: 40, Only: []string{pace.Replace}}, &out)
	t.Log(out.String())
	is.NoErr(err)
	is.True(counts[pace.Replace].Sent > 0)
	is.Equal(counts[pace.Replace].Done, counts[pace.Replace].Sent)
}

// The whole under seeded faults of every kind.
func TestSeededFaults(t *testing.T) {
	underFaults(t, faults.Settings{Time: 25 * time.Second, Rate: 40, Seed: 1})
}

// The same while the hosts of the endpoints stand still longer than every
// lease and find all that was sent to them when they wake.
func TestPausedEndpoints(t *testing.T) {
	underFaults(t, faults.Settings{Time: 14 * time.Second, Rate: 60, Seed: 7, Only: []faults.Kind{faults.Rack}})
}

// Limits are lowered to a few tasks under load and bind from when the operator
// is told so, while placers die.
func TestLoweredLimits(t *testing.T) {
	underFaults(t, faults.Settings{Time: 14 * time.Second, Rate: 60, Seed: 3, Only: []faults.Kind{faults.Limit, faults.Kill}})
}

// Endpoints that can't keep old owners out: terms do it alone. Starts that
// arrive late at a suspended endpoint are beyond them (docs/DESIGN.md).
func TestClockFence(t *testing.T) {
	s := faults.Settings{Time: 14 * time.Second, Rate: 40, Seed: 2, Only: []faults.Kind{faults.Kill, faults.Pause, faults.Replace, faults.Platform, faults.Cut}}
	s.Site.Spec.Fence = string(point.FenceClock)
	underFaults(t, s)
}

// underFaults runs a deployment under faults, in which no promise may break.
func underFaults(t *testing.T, s faults.Settings) {
	t.Helper()
	if testing.Short() {
		t.Skip("a fault run is too long for -short")
	}
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	fence := s.Site.Spec.Fence
	s.Site = settings(t, build(t))
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

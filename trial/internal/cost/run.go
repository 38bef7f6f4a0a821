package cost

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/trial/cell"
	"github.com/balsamford/balsamford/trial/load"
	"github.com/balsamford/balsamford/trial/site"
	"github.com/balsamford/balsamford/trial/wait"
)

// settleTime lets a new deployment come to rest before it is measured.
const settleTime = 10 * time.Second

// Settings say what to measure.
type Settings struct {
	Site  site.Settings
	Sizes string // workers of each zone, like "12,24,48"; the last one counts for further runs
	Hosts string // entry hosts of each zone, likewise
	Rates string // requests a second, likewise; 0 is none
	Span  time.Duration
	Seed  uint64
}

// Run measures each size and writes a row for each.
func Run(ctx context.Context, s Settings, w io.Writer) error {
	sizes, hosts, rates := list(s.Sizes), list(s.Hosts), list(s.Rates)
	_, _ = fmt.Fprintln(w, "zones hosts workers rate | entry cpu% MB | placer cpu% MB | platform cpu% | loopback KB/s all, per host")
	for i := range max(len(sizes), len(hosts), len(rates)) {
		spec := s.Site.Spec
		spec.Workers, spec.Hosts = int(at(sizes, i)), int(at(hosts, i))
		settings := s.Site
		settings.Spec = spec
		settings.Dir = filepath.Join(s.Site.Dir, strconv.Itoa(i))
		if err := os.Mkdir(settings.Dir, 0o700); err != nil {
			return &ReadError{Path: settings.Dir, Err: err}
		}
		if err := one(ctx, settings, float64(at(rates, i)), s, w); err != nil {
			return err
		}
	}
	return nil
}

func one(ctx context.Context, settings site.Settings, rate float64, s Settings, w io.Writer) error {
	st, err := site.Open(ctx, settings)
	if st != nil {
		defer st.Close()
	}
	if err != nil {
		return err
	}
	loadCtx, cancel := context.WithCancel(ctx)
	var g errgroup.Group
	if rate > 0 {
		r := load.New(s.Seed, rate, 0, st.Publisher().Set(), st.Cell().EntryHosts())
		count := int(rate * (settleTime + s.Span).Seconds())
		g.Go(func() error { r.Run(loadCtx, count); return nil })
	}
	row, err := measure(ctx, st, s.Span)
	cancel()
	_ = g.Wait()
	if err != nil {
		return err
	}
	spec := settings.Spec
	all := spec.Hosts * len(spec.Zones)
	_, err = fmt.Fprintf(w, "%5d %5d %7d %4.0f | %10.2f %4.1f | %10.2f %4.1f | %12.2f | %.1f, %.1f\n",
		len(spec.Zones), spec.Hosts, spec.Workers, rate,
		row.cpu(cell.RoleEntry), row.memory(cell.RoleEntry), row.cpu(cell.RolePlacer), row.memory(cell.RolePlacer),
		row.cpu(cell.RolePlatform), row.kilobytes(), row.kilobytes()/float64(all))
	st.Stop()
	return err
}

// measure waits for rest, then compares the usage over span.
func measure(ctx context.Context, st *site.Site, span time.Duration) (*row, error) {
	if !wait.For(ctx, settleTime) {
		return nil, context.Cause(ctx)
	}
	before, err := take(st)
	if err != nil {
		return nil, err
	}
	if !wait.For(ctx, span) {
		return nil, context.Cause(ctx)
	}
	after, err := take(st)
	if err != nil {
		return nil, err
	}
	return &row{before: before, after: after, span: span}, nil
}

func list(text string) []int64 {
	parts := strings.Split(text, ",")
	numbers := make([]int64, 0, len(parts))
	for _, p := range parts {
		numbers = append(numbers, number(strings.TrimSpace(p)))
	}
	return numbers
}

// at returns the element at i, or the last one.
func at(numbers []int64, i int) int64 { return numbers[min(i, len(numbers)-1)] }

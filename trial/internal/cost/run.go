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

// settleTime is the time between the start of a deployment and its measurement.
const settleTime = 10 * time.Second

// Settings describes the measurements. Lists have one number for each run; if a
// list is shorter than another, its last number applies to the further runs.
type Settings struct {
	Site  site.Settings
	Sizes string        // workers in each zone, like "12,24,48"
	Hosts string        // entry hosts in each zone
	Rates string        // requests a second; 0 for no load
	Span  time.Duration // of each measurement
	Seed  uint64
}

// Run measures a deployment of each size and writes a row for each to w.
func Run(ctx context.Context, s Settings, w io.Writer) error {
	sizes, hosts, rates := parseList(s.Sizes), parseList(s.Hosts), parseList(s.Rates)
	_, _ = fmt.Fprintln(w, "zones hosts workers rate | entry cpu% MB | placer cpu% MB | platform cpu% | loopback KB/s all, per host")
	for i := range max(len(sizes), len(hosts), len(rates)) {
		spec := s.Site.Spec
		spec.Workers, spec.Hosts = int(elementOrLast(sizes, i)), int(elementOrLast(hosts, i))
		settings := s.Site
		settings.Spec = spec
		settings.Dir = filepath.Join(s.Site.Dir, strconv.Itoa(i))
		if err := os.Mkdir(settings.Dir, 0o700); err != nil {
			return &ReadError{Path: settings.Dir, Err: err}
		}
		if err := measureSize(ctx, settings, float64(elementOrLast(rates, i)), s, w); err != nil {
			return err
		}
	}
	return nil
}

func measureSize(ctx context.Context, settings site.Settings, rate float64, s Settings, w io.Writer) error {
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
	used, err := measure(ctx, st, s.Span)
	cancel()
	_ = g.Wait()
	if err != nil {
		return err
	}
	spec := settings.Spec
	hosts := spec.Hosts * len(spec.Zones)
	_, err = fmt.Fprintf(w, "%5d %5d %7d %4.0f | %10.2f %4.1f | %10.2f %4.1f | %12.2f | %.1f, %.1f\n",
		len(spec.Zones), spec.Hosts, spec.Workers, rate,
		used.cpuPercent(cell.RoleEntry), used.memoryMB(cell.RoleEntry), used.cpuPercent(cell.RolePlacer), used.memoryMB(cell.RolePlacer),
		used.cpuPercent(cell.RolePlatform), used.loopbackKBPerSecond(), used.loopbackKBPerSecond()/float64(hosts))
	st.Stop()
	return err
}

// measure waits for settleTime and then measures the usage during span.
func measure(ctx context.Context, st *site.Site, span time.Duration) (*measurement, error) {
	if !wait.For(ctx, settleTime) {
		return nil, context.Cause(ctx)
	}
	before, err := takeSample(st)
	if err != nil {
		return nil, err
	}
	if !wait.For(ctx, span) {
		return nil, context.Cause(ctx)
	}
	after, err := takeSample(st)
	if err != nil {
		return nil, err
	}
	return &measurement{before: before, after: after, span: span}, nil
}

func parseList(text string) []int64 {
	parts := strings.Split(text, ",")
	numbers := make([]int64, 0, len(parts))
	for _, p := range parts {
		numbers = append(numbers, parseNumber(strings.TrimSpace(p)))
	}
	return numbers
}

// elementOrLast returns the element at i, or the last one if there are fewer.
func elementOrLast(numbers []int64, i int) int64 { return numbers[min(i, len(numbers)-1)] }

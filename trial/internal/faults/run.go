package faults

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/trial/judge"
	"github.com/balsamford/balsamford/trial/load"
	"github.com/balsamford/balsamford/trial/report"
	"github.com/balsamford/balsamford/trial/site"
	"github.com/balsamford/balsamford/trial/wait"
)

const (
	// quietPeriod is the time under load without faults before the first fault
	// and after the last.
	quietPeriod = 3 * time.Second
	// jobDrainTime is how long jobs are followed after the last request was sent.
	jobDrainTime = 60 * time.Second
	// recoveryTimeout is how long all processes may take to be ready again after
	// the last fault.
	recoveryTimeout = 60 * time.Second
)

// Settings describes a trial.
type Settings struct {
	Site site.Settings
	Time time.Duration // during which faults are injected
	Rate float64       // requests a second
	Seed uint64
	Only []Kind // kinds of fault; all if empty
}

// Run injects faults under load, writes its progress and a summary to w and
// returns the violations of invariants.
func Run(ctx context.Context, s Settings, w io.Writer) ([]judge.Finding, error) {
	st, err := site.Open(ctx, s.Site)
	if st != nil {
		defer st.Close()
	}
	if err != nil {
		return nil, err
	}
	_, _ = fmt.Fprintf(w, "seed %d: faults for %v under %.0f requests a second\n", s.Seed, s.Time, s.Rate)
	set := st.Publisher().Set()
	r := load.New(s.Seed, s.Rate, jobDrainTime, set, st.Cell().EntryHosts())
	record := &judge.Record{Keys: load.Keys(set), Limits: load.Limits(set)}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var g, watch errgroup.Group
	g.Go(func() error { r.Run(loadCtx, 0); return nil })
	watch.Go(func() error { record.Versions = st.WatchVersions(watchCtx); return nil })
	wait.For(ctx, quietPeriod)
	inj := newInjector(st, s, w)
	inj.run(ctx, s.Time)
	wait.For(ctx, quietPeriod)
	recoveryErr := st.WaitReady(ctx, recoveryTimeout)
	stopLoad()
	_ = g.Wait()
	stopWatch()
	_ = watch.Wait()
	record.Calls, record.Published, record.End = r.Calls(), inj.published, time.Now()
	record.Limits = append(record.Limits, inj.limits...)
	for i := range record.Keys {
		record.Keys[i].Withdrawn = inj.withdrawn[record.Keys[i].Name]
	}
	if record.Events, err = st.Events(); err != nil {
		return nil, err
	}
	report.NewTable(record).Print(w)
	if err := report.Save(s.Site.Dir, record); err != nil {
		return nil, err
	}
	if recoveryErr != nil {
		return judge.Check(record), recoveryErr
	}
	st.Stop()
	record.Exits = append(inj.exits, st.Exits()...)
	findings := judge.Check(record)
	if len(findings) == 0 {
		_, _ = fmt.Fprintf(w, "%d faults were made; no promise was broken\n", inj.injected)
	}
	return findings, nil
}

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
	// quietTime is how long the load goes on before the first fault and
	// after the last.
	quietTime = 3 * time.Second
	// jobTime is how long jobs may run on after the last request was sent.
	jobTime = 60 * time.Second
	// healTime is how long a deployment may take to be ready again.
	healTime = 60 * time.Second
)

// Settings say how the trial runs.
type Settings struct {
	Site site.Settings
	Time time.Duration // for which faults are made
	Rate float64       // requests a second
	Seed uint64
	Only []Kind // kinds of fault; all if empty
}

// Run makes faults under load, writes what it does to w and returns the
// broken promises.
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
	r := load.New(s.Seed, s.Rate, jobTime, set, st.Cell().EntryHosts())
	record := &judge.Record{Keys: load.Keys(set), Limits: load.Limits(set)}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	var g, watch errgroup.Group
	g.Go(func() error { r.Run(loadCtx, 0); return nil })
	watch.Go(func() error { record.Versions = st.WatchVersions(watchCtx); return nil })
	wait.For(ctx, quietTime)
	m := newMaker(st, s, w)
	m.run(ctx, s.Time)
	wait.For(ctx, quietTime)
	healed := st.WaitReady(ctx, healTime)
	stopLoad()
	_ = g.Wait()
	stopWatch()
	_ = watch.Wait()
	record.Calls, record.Published, record.End = r.Calls(), m.published, time.Now()
	record.Limits = append(record.Limits, m.limits...)
	for i := range record.Keys {
		record.Keys[i].Withdrawn = m.withdrawn[record.Keys[i].Name]
	}
	if record.Events, err = st.Events(); err != nil {
		return nil, err
	}
	report.NewTable(record).Print(w)
	if err := report.Save(s.Site.Dir, record); err != nil {
		return nil, err
	}
	if healed != nil {
		return judge.Check(record), healed
	}
	st.Stop()
	record.Exits = append(m.exits, st.Exits()...)
	findings := judge.Check(record)
	if len(findings) == 0 {
		_, _ = fmt.Fprintf(w, "%d faults were made; no promise was broken\n", m.made)
	}
	return findings, nil
}

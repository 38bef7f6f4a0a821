package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/balsamford/balsamford/trial/judge"
	"github.com/balsamford/balsamford/trial/load"
	"github.com/balsamford/balsamford/trial/report"
	"github.com/balsamford/balsamford/trial/site"
)

// jobDrainTime is how long jobs are followed after the last request was sent.
const jobDrainTime = 45 * time.Second

// Settings describes a run of the demo.
type Settings struct {
	Site  site.Settings
	Count int     // number of requests
	Rate  float64 // requests a second
	Seed  uint64
}

// Run runs the demo, writes its progress and the table of outcomes to w, and
// returns the violations of invariants and the table.
func Run(ctx context.Context, s Settings, w io.Writer) ([]judge.Finding, *report.Table, error) {
	spec := s.Site.Spec
	_, _ = fmt.Fprintf(w, "starting %d zones with %d entry hosts, %d executors and %d workers each\n",
		len(spec.Zones), spec.Hosts, spec.Executors, spec.Workers)
	st, err := site.Open(ctx, s.Site)
	if st != nil {
		defer st.Close()
	}
	if err != nil {
		return nil, nil, err
	}
	_, _ = fmt.Fprintf(w, "all processes are ready; sending %d requests\n", s.Count)
	r := load.New(s.Seed, s.Rate, jobDrainTime, st.Publisher().Set(), st.Cell().EntryHosts())
	r.Run(ctx, s.Count)
	record := &judge.Record{Calls: r.Calls(), Keys: load.Keys(st.Publisher().Set()), Limits: load.Limits(st.Publisher().Set()), End: time.Now()}
	if record.Events, err = st.Events(); err != nil {
		return nil, nil, err
	}
	table := report.NewTable(record)
	table.Print(w)
	if err := report.Save(s.Site.Dir, record); err != nil {
		return nil, nil, err
	}
	st.Stop()
	record.Exits = st.Exits()
	for _, x := range record.Exits {
		if x.Code != 0 {
			_, _ = fmt.Fprintf(w, "%s ended with code %d\n", x.Process, x.Code)
		}
	}
	findings := judge.Check(record)
	if len(findings) == 0 {
		_, _ = fmt.Fprintf(w, "all %d processes have ended gracefully; no promise was broken\n", len(record.Exits))
	}
	return findings, table, nil
}

package site

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/trial/cell"
	"github.com/balsamford/balsamford/trial/judge"
	"github.com/balsamford/balsamford/trial/rules"
)

// readyTime is how long a deployment may take until all of it is ready.
const readyTime = 60 * time.Second

// Settings say what deployment to run.
type Settings struct {
	Dir      string // for settings and output
	Binaries string // directory of the programs
	Objects  string // file of configuration objects
	Spec     cell.Spec
}

// Site is one running deployment.
type Site struct {
	cell  *cell.Cell
	book  *rules.Publisher
	pages *pages
	exits []judge.Exit
}

// Open starts a deployment and waits until all of it is ready. A Site that is
// returned has to be closed, also with an error.
func Open(ctx context.Context, s Settings) (*Site, error) {
	c, err := cell.New(s.Dir, s.Binaries, s.Spec)
	if err != nil {
		return nil, err
	}
	st := &Site{cell: c, pages: newPages()}
	return st, st.open(ctx, s.Objects)
}

func (s *Site) open(ctx context.Context, objects string) error {
	if err := s.cell.StartRole(cell.RolePlatform); err != nil {
		return err
	}
	var err error
	if s.book, err = rules.Open(objects, s.cell.Platform()); err != nil {
		return err
	}
	publish := func() string {
		if _, err := s.book.Publish(ctx); err != nil {
			return err.Error()
		}
		return ""
	}
	if reason := cell.Wait(ctx, readyTime, publish); reason != "" {
		return &NotReadyError{What: "configuration", Reason: reason}
	}
	for _, role := range []string{cell.RoleEndpoints, cell.RolePlacer, cell.RoleEntry} {
		if err := s.cell.StartRole(role); err != nil {
			return err
		}
	}
	if err := s.WaitReady(ctx, readyTime); err != nil {
		return err
	}
	return s.owned(ctx)
}

// owned waits until every endpoint has an owner.
func (s *Site) owned(ctx context.Context) error {
	client := point.NewClient()
	defer client.Close()
	for _, e := range s.cell.Endpoints() {
		reason := cell.Wait(ctx, readyTime, func() string {
			v, err := client.View(ctx, e.Address)
			switch {
			case err != nil:
				return err.Error()
			case v.Left <= 0:
				return "nobody owns it"
			}
			return ""
		})
		if reason != "" {
			return &NotReadyError{What: e.Kind + " " + e.Address, Reason: reason}
		}
	}
	return nil
}

// Ready waits until all entries and placers are ready, for at most d.
func (s *Site) WaitReady(ctx context.Context, d time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for _, door := range s.cell.EntryHosts() {
		for _, page := range []string{door.PlacerStatusAddress, door.StatusAddress} {
			if reason := cell.Wait(ctx, d, func() string { return s.pages.ready(page) }); reason != "" {
				return &NotReadyError{What: door.Host, Reason: reason}
			}
		}
	}
	return nil
}

// Cell returns the processes.
func (s *Site) Cell() *cell.Cell { return s.cell }

// Book returns the configuration.
func (s *Site) Publisher() *rules.Publisher { return s.book }

// Stop ends all processes gracefully: the entries first, then the placers,
// the endpoints and the platform. Those of one role are asked together.
func (s *Site) Stop() {
	for _, role := range []string{cell.RoleEntry, cell.RolePlacer, cell.RoleEndpoints, cell.RolePlatform} {
		var g errgroup.Group
		for _, p := range s.cell.ByRole(role) {
			if p.Running() {
				g.Go(func() error { s.cell.Stop(p); return nil })
			}
		}
		_ = g.Wait()
		for _, p := range s.cell.ByRole(role) {
			s.RecordExit(p)
		}
	}
}

// Exited notes how a process that runs no more has ended.
func (s *Site) RecordExit(p *cell.Process) {
	code, planned := p.Exit()
	s.exits = append(s.exits, judge.Exit{Process: p.Name(), Planned: planned, Code: code})
}

// Exits returns the ends of processes that were noted.
func (s *Site) Exits() []judge.Exit { return s.exits }

// Close kills whatever still runs.
func (s *Site) Close() {
	if s.book != nil {
		s.book.Close()
	}
	s.cell.Close()
	s.pages.close()
}

// NotReadyError reports a deployment that didn't get ready in time.
type NotReadyError struct {
	What   string
	Reason string
}

// Error implements error.
func (e *NotReadyError) Error() string { return e.What + " is not ready: " + e.Reason }

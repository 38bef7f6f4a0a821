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

// readyTimeout bounds each step of the start of a deployment: publishing the
// configuration, all processes getting ready, each endpoint getting an owner.
const readyTimeout = 60 * time.Second

// Settings describes the deployment to run.
type Settings struct {
	Dir      string // directory for settings files and process output
	Binaries string // directory of the programs
	Objects  string // path of the file of configuration objects
	Spec     cell.Spec
}

// Site is one running deployment.
type Site struct {
	cell      *cell.Cell
	publisher *rules.Publisher
	status    *statusClient
	exits     []judge.Exit
}

// Open starts a deployment and waits until all processes are ready and each
// endpoint has an owner. If the returned Site is not nil, it must be closed, even
// if there is an error. The error is a *NotReadyError if a step takes too long.
func Open(ctx context.Context, s Settings) (*Site, error) {
	c, err := cell.New(s.Dir, s.Binaries, s.Spec)
	if err != nil {
		return nil, err
	}
	st := &Site{cell: c, status: newStatusClient()}
	return st, st.start(ctx, s.Objects)
}

func (s *Site) start(ctx context.Context, objects string) error {
	if err := s.cell.StartRole(cell.RolePlatform); err != nil {
		return err
	}
	var err error
	if s.publisher, err = rules.Open(objects, s.cell.Platform()); err != nil {
		return err
	}
	publish := func() string {
		if _, err := s.publisher.Publish(ctx); err != nil {
			return err.Error()
		}
		return ""
	}
	if reason := cell.Wait(ctx, readyTimeout, publish); reason != "" {
		return &NotReadyError{What: "configuration", Reason: reason}
	}
	for _, role := range []string{cell.RoleEndpoints, cell.RolePlacer, cell.RoleEntry} {
		if err := s.cell.StartRole(role); err != nil {
			return err
		}
	}
	if err := s.WaitReady(ctx, readyTimeout); err != nil {
		return err
	}
	return s.waitOwned(ctx)
}

// waitOwned waits until every endpoint has an owner with a current lease.
func (s *Site) waitOwned(ctx context.Context) error {
	client := point.NewClient()
	defer client.Close()
	for _, e := range s.cell.Endpoints() {
		reason := cell.Wait(ctx, readyTimeout, func() string {
			v, err := client.View(ctx, e.Address)
			switch {
			case err != nil:
				return err.Error()
			case v.Left <= 0:
				return "it has no owner"
			}
			return ""
		})
		if reason != "" {
			return &NotReadyError{What: e.Kind + " " + e.Address, Reason: reason}
		}
	}
	return nil
}

// WaitReady waits at most d until all entries and placers are ready. The error
// is a *NotReadyError.
func (s *Site) WaitReady(ctx context.Context, d time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for _, h := range s.cell.EntryHosts() {
		for _, address := range []string{h.PlacerStatusAddress, h.StatusAddress} {
			if reason := cell.Wait(ctx, d, func() string { return s.status.notReadyReason(address) }); reason != "" {
				return &NotReadyError{What: h.Host, Reason: reason}
			}
		}
	}
	return nil
}

// Cell returns the deployment's processes and addresses.
func (s *Site) Cell() *cell.Cell { return s.cell }

// Publisher returns the publisher of the deployment's configuration.
func (s *Site) Publisher() *rules.Publisher { return s.publisher }

// Stop stops all processes gracefully and records their exits: first the
// entries, then the placers, the endpoints and the platform. Processes of one
// role are stopped concurrently.
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

// RecordExit records the exit of a process that is no longer running.
func (s *Site) RecordExit(p *cell.Process) {
	code, planned := p.Exit()
	s.exits = append(s.exits, judge.Exit{Process: p.Name(), Planned: planned, Code: code})
}

// Exits returns the recorded exits.
func (s *Site) Exits() []judge.Exit { return s.exits }

// Close kills all running processes and closes all connections.
func (s *Site) Close() {
	if s.publisher != nil {
		s.publisher.Close()
	}
	s.cell.Close()
	s.status.close()
}

// NotReadyError reports a part of a deployment that didn't get ready in time.
type NotReadyError struct {
	What   string
	Reason string
}

// Error implements error.
func (e *NotReadyError) Error() string { return e.What + " is not ready: " + e.Reason }

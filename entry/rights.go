package main

import (
	"context"

	"github.com/balsamford/balsamford/coord/wire"
)

// rights answers who may do what, from the configuration in force. Until
// coord/config can be followed there is no configuration, and nothing is
// confirmed.
type rights struct{}

func newRights(*app) *rights { return &rights{} }

func (*rights) run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (*rights) fresh() bool { return false }

// Team implements serve.Config.
func (*rights) Team(string) (team, reason string) { return "", wire.ReasonStale }

// Check implements serve.Config.
func (*rights) Check(string, string, wire.Kind) (team, reason string) { return "", wire.ReasonStale }

// Version implements serve.Config.
func (*rights) Version() uint64 { return 0 }

// Command standin is a test double for the platform or for endpoints, for tests
// and the demo. Its settings file selects the role.
package main

import "C"

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/logs"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/standin/internal/role"
)

// The exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	path := ""
	flaggy.SetName("standin")
	flaggy.SetDescription("takes the place of the platform or of endpoints in tests")
	flaggy.String(&path, "c", "config", "settings file (TOML)")
	flaggy.Parse()
	os.Exit(run(path))
}

func run(path string) int {
	settings := &role.Settings{Level: "info"}
	if err := setup.Load(path, settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	log, err := logs.New(settings.Level, "standin", settings.Name, "")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := role.New(settings, log).Run(ctx); err != nil {
		log.Error("standin failed", zap.Error(err))
		return exitFailed
	}
	log.Info("standin stopped")
	return 0
}

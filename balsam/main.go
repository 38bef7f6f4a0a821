// Command balsam is the command line of balsamford, for operators and for callers.
// Run "balsam --help" for the commands and their examples; docs/CONFIG.md has
// the exit codes.
package main

import "C"

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/balsamford/balsamford/balsam/internal/shell"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := shell.Run(ctx, os.Args[1:], shell.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Terminal: shell.IsTerminal(os.Stdout)}, os.Getenv)
	stop()
	os.Exit(int(code))
}

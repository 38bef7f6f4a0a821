package cell

import (
	"context"
	"os"
	"os/exec"
)

// module is the first part of the programs' import paths.
const module = "github.com/balsamford/balsamford/"

// Build builds programs of the workspace into dir. It has to be called within
// the workspace.
func Build(ctx context.Context, dir string, programs ...string) error {
	args := []string{"build", "-o", dir + string(os.PathSeparator)}
	for _, p := range programs {
		args = append(args, module+p)
	}
	cmd := exec.CommandContext(ctx, "go", args...) //nolint:gosec // The programs are named by the trial.
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		return &BuildError{Output: string(out), Err: err}
	}
	return nil
}

// BuildError reports programs that can't be built.
type BuildError struct {
	Output string
	Err    error
}

// Error implements error.
func (e *BuildError) Error() string { return "build: " + e.Err.Error() + "\n" + e.Output }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Err }

package cell

import (
	"context"
	"os"
	"os/exec"
)

// module is the prefix of the programs' import paths.
const module = "github.com/balsamford/balsamford/"

// Build builds programs of the Go workspace into dir. The working directory
// must be inside the workspace. It returns a *BuildError if the build fails.
func Build(ctx context.Context, dir string, programs ...string) error {
	args := []string{"build", "-o", dir + string(os.PathSeparator)}
	for _, p := range programs {
		args = append(args, module+p)
	}
	cmd := exec.CommandContext(ctx, "go", args...) //nolint:gosec // The program names come from the trial itself.
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		return &BuildError{Output: string(out), Err: err}
	}
	return nil
}

// BuildError reports a failed build, with the output of the go command.
type BuildError struct {
	Output string
	Err    error
}

// Error implements error.
func (e *BuildError) Error() string { return "build: " + e.Err.Error() + "\n" + e.Output }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Err }

package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/trial/rules"
)

// acceptTime is how long an operator waits until a change is in force.
const acceptTime = 30 * time.Second

// tool runs "balsam ARGS --wait" against an operators' door and returns the
// version, which is in force everywhere then.
func (m *maker) tool(ctx context.Context, door string, args ...string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*acceptTime)
	defer cancel()
	args = append(args, "--wait", "--timeout", acceptTime.String(), "--door", door, "--key", rules.Secret(m.operator()))
	out, err := exec.CommandContext(ctx, m.balsam, args...).CombinedOutput() //nolint:gosec // The trial starts what it was built for.
	if err != nil {
		return 0, errors.Join(err, &OutputError{Text: string(out)})
	}
	var version uint64
	for line := range bytes.Lines(out) {
		var step admin.Step
		if json.Unmarshal(line, &step) == nil {
			version = max(version, step.Version)
		}
	}
	return version, nil
}

// file writes a file for balsam and returns its path.
func (m *maker) file(name, text string) (string, error) {
	path := filepath.Join(m.dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// operator returns the name of an operator's key.
func (m *maker) operator() string {
	set := m.site.Publisher().Set()
	for _, ref := range set.Refs() {
		if k, ok := set.Object(ref).(*config.Key); ok && k.Operator() {
			return k.Name
		}
	}
	return ""
}

// OutputError is what a program that failed has printed.
type OutputError struct {
	Text string
}

// Error implements error.
func (e *OutputError) Error() string { return e.Text }

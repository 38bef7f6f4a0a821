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

// publishTimeout is how long balsam waits until a change is in force.
const publishTimeout = 30 * time.Second

// runBalsam runs "balsam ARGS --wait" against the operator API of an entry and
// returns the published version, which is in force on all hosts by then.
func (inj *injector) runBalsam(ctx context.Context, operatorAddress string, args ...string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*publishTimeout)
	defer cancel()
	args = append(args, "--wait", "--timeout", publishTimeout.String(), "--door", operatorAddress, "--key", rules.Secret(inj.operatorKey()))
	out, err := exec.CommandContext(ctx, inj.balsamPath, args...).CombinedOutput() //nolint:gosec // The path comes from the trial's own settings.
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

// writeFile writes an input file for balsam and returns its path.
func (inj *injector) writeFile(name, text string) (string, error) {
	path := filepath.Join(inj.dir, name)
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// operatorKey returns the name of an operator's key, or an empty string if the
// configuration has none.
func (inj *injector) operatorKey() string {
	set := inj.site.Publisher().Set()
	for _, ref := range set.Refs() {
		if k, ok := set.Object(ref).(*config.Key); ok && k.Operator() {
			return k.Name
		}
	}
	return ""
}

// OutputError holds the output of a program that failed.
type OutputError struct {
	Text string
}

// Error implements error.
func (e *OutputError) Error() string { return e.Text }

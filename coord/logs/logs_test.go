package logs

import (
	"bytes"
	"encoding/json"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap/zapcore"
)

// TestFields checks the names of the fields that all lines have, and that
// docs/METRICS.md lists them.
func TestFields(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, err := newLogger(zapcore.AddSync(&out), "info", "entry", "h1", "z1")
	is.NoErr(err)
	log.Info("text")
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	names := make([]string, 0, len(line))
	for name := range line {
		names = append(names, name)
	}
	slices.Sort(names)
	is.Equal(names, []string{"host", "level", "role", "text", "time", "zone"})
	page, err := os.ReadFile("../../docs/METRICS.md")
	is.NoErr(err)
	for _, name := range names {
		is.True(strings.Contains(string(page), "\n| "+name+" | "))
	}
}

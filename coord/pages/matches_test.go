package pages

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// matches returns all matches of the pattern's first group in the repository's Go
// test files if tests is true, else in its other Go files.
func matches(t *testing.T, pattern *regexp.Regexp, tests bool) map[string]bool {
	t.Helper()
	names := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") != tests {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range pattern.FindAllSubmatch(data, -1) {
			names[string(m[1])] = true
		}
		return nil
	})
	is.New(t).NoErr(err)
	return names
}

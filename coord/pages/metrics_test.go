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

var registered = regexp.MustCompile(`(?:GetOrRegister|NewRegistered)\w+\(\s*"([a-z.]+)"`)

// TestMetricsAreListed shows that the page names each metric that the code
// registers, so that a name can't change unseen by dashboards.
func TestMetricsAreListed(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join(root, "docs", "METRICS.md"))
	is.NoErr(err)
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, m := range registered.FindAllSubmatch(data, -1) {
			name := string(m[1])
			if strings.HasSuffix(name, ".") {
				continue // The last part is an outcome.
			}
			if !strings.Contains(string(page), name) {
				t.Errorf("%s registers %s, which docs/METRICS.md doesn't list", filepath.Base(path), name)
			}
		}
		return nil
	})
	is.NoErr(err)
}

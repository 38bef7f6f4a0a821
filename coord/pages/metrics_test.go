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

var (
	// pageRow matches a row of the page's tables that names metrics.
	pageRow    = regexp.MustCompile(`(?m)^\| ([a-z.]+\.[a-z.]+(?:, [a-z.]+)*) \|`)
	codeString = regexp.MustCompile(`"([a-z.]+)"`)
)

// registered matches the registration of a metric under a literal name.
var registered = regexp.MustCompile(`(?:GetOrRegister|NewRegistered)\w+\(\s*"([a-z.]+)"`)

// TestMetricsAreListed checks that docs/METRICS.md lists each metric that the code
// registers. Dashboards rely on these names.
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
				continue // A prefix; the last part of the name is an outcome.
			}
			if !strings.Contains(string(page), name) {
				t.Errorf("%s registers %s, which docs/METRICS.md doesn't list", filepath.Base(path), name)
			}
		}
		return nil
	})
	is.NoErr(err)
}

// codeStrings returns the string literals in the code that look like names of
// metrics.
func codeStrings(t *testing.T) map[string]bool {
	t.Helper()
	return matches(t, codeString, false)
}

// TestListedMetricsExist checks that the code contains each metric that
// docs/METRICS.md lists, as a whole name or as a prefix that ends in a dot. It
// fails if a name is changed in the code only.
func TestListedMetricsExist(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join(root, "docs", "METRICS.md"))
	is.NoErr(err)
	names := codeStrings(t)
	listed := 0
	for _, m := range pageRow.FindAllSubmatch(page, -1) {
		prefix := ""
		for name := range strings.SplitSeq(string(m[1]), ", ") {
			if strings.HasPrefix(name, ".") {
				name = prefix + name[1:]
			}
			prefix = name[:strings.LastIndex(name, ".")+1]
			listed++
			group, rest, _ := strings.Cut(name, ".")
			_, last, _ := strings.Cut(rest, ".")
			if !names[name] && !names[prefix] && (!names[group+"."] || !names["."+last]) {
				t.Errorf("docs/METRICS.md lists %s, which the code doesn't have", name)
			}
		}
	}
	is.True(listed > 60)
}

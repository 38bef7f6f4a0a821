package pages

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// root is the path of the repository from this package.
const root = "../.."

var (
	// testFunc matches the declaration of a test, testName a mention of one on a
	// page, and pageLink a link to another page.
	testFunc = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark|Example)\w+)\(`)
	testName = regexp.MustCompile("`((?:Test|Benchmark|Example)\\w+)")
	pageLink = regexp.MustCompile(`\]\(([^)#]+\.md)`)
)

// testNames returns the names of the test functions of all modules.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	return matches(t, testFunc, true)
}

// pageFiles returns the Markdown pages of the repository.
func pageFiles(t *testing.T) []string {
	t.Helper()
	is := is.New(t)
	files, err := filepath.Glob(filepath.Join(root, "*.md"))
	is.NoErr(err)
	docs, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	is.NoErr(err)
	return append(files, docs...)
}

// TestNamedTestsExist checks that every test named on a page exists.
func TestNamedTestsExist(t *testing.T) {
	names := testNames(t)
	for _, page := range pageFiles(t) {
		data, err := os.ReadFile(page)
		is.New(t).NoErr(err)
		for _, m := range testName.FindAllSubmatch(data, -1) {
			if !names[string(m[1])] {
				t.Errorf("%s names the test %s, which doesn't exist", filepath.Base(page), m[1])
			}
		}
	}
}

// TestLinkedPagesExist checks that every page linked from a page exists.
func TestLinkedPagesExist(t *testing.T) {
	for _, page := range pageFiles(t) {
		data, err := os.ReadFile(page)
		is.New(t).NoErr(err)
		for _, m := range pageLink.FindAllSubmatch(data, -1) {
			if strings.Contains(string(m[1]), "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), string(m[1]))); err != nil {
				t.Errorf("%s links to %s, which doesn't exist", filepath.Base(page), m[1])
			}
		}
	}
}

package pages

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// wireName matches paths, field names and headers of the platform's wire
// protocol.
var wireName = regexp.MustCompile(`/api/|rows-tx|rows-get|rows-feed|run-start|run-stop|ack_cursor|clock_ms|api_keys|[a-z]+_ms\b|mem_mb|max_per_server|` +
	`saves_progress|speculative|same_rack|may_miss|rejects_overload|x-balsamford-(?:deadline|expect|lease|fence|instance)|balsamford_boot|\bslo_ms\b|port_range`)

// platformFolder is the only folder whose code may use the platform's wire names.
const platformFolder = "platform"

// walkSources calls f with the path, relative to the root, and the content of each
// Go file except tests.
func walkSources(t *testing.T, f func(path string, data []byte)) {
	t.Helper()
	is := is.New(t)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		f(rel, data)
		return err
	})
	is.NoErr(err)
}

// TestWireNamesStayInTheirFolder checks that no code outside platform/ uses a name
// of the platform's wire protocol.
func TestWireNamesStayInTheirFolder(t *testing.T) {
	inside := 0
	walkSources(t, func(path string, data []byte) {
		found := wireName.FindString(strings.ToLower(string(data)))
		if strings.HasPrefix(path, platformFolder+string(filepath.Separator)) {
			if found != "" {
				inside++
			}
			return
		}
		if found != "" {
			t.Errorf("%s uses the wire name %s, which only code in %s/ may use", path, found, platformFolder)
		}
	})
	is.New(t).True(inside > 5) // Guards against a pattern that matches nothing.
}

// TestFolderDecidesNothing checks that platform/ only translates: of this module's
// packages it may import coord/model only, which has the types that it translates
// to and from.
func TestFolderDecidesNothing(t *testing.T) {
	const modulePrefix = "github.com/balsamford/balsamford/"
	files := 0
	walkSources(t, func(path string, data []byte) {
		if !strings.HasPrefix(path, platformFolder+string(filepath.Separator)) {
			return
		}
		files++
		file, err := parser.ParseFile(token.NewFileSet(), path, data, parser.ImportsOnly)
		is.New(t).NoErr(err)
		for _, i := range file.Imports {
			name, err := strconv.Unquote(i.Path.Value)
			is.New(t).NoErr(err)
			if strings.HasPrefix(name, modulePrefix) && name != modulePrefix+"coord/model" {
				t.Errorf("%s imports %s; only coord/model is allowed here", path, name)
			}
		}
	})
	is.New(t).True(files > 10)
}

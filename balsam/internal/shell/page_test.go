package shell

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// TestCodesAreListed checks that the table in docs/CONFIG.md lists every exit code.
func TestCodesAreListed(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/CONFIG.md")
	is.NoErr(err)
	rows := regexp.MustCompile(`(?m)^\| (\d+) \| `).FindAllSubmatch(page, -1)
	is.Equal(len(rows), int(NotRun)+1)
	for c := OK; c <= NotRun; c++ {
		is.Equal(string(rows[c][1]), strconv.Itoa(int(c)))
	}
}

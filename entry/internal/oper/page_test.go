package oper

import (
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/admin"
)

// TestStatusesAreListed checks that docs/CONFIG.md lists every failure code with
// its HTTP status.
func TestStatusesAreListed(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/CONFIG.md")
	is.NoErr(err)
	_, list, found := strings.Cut(string(page), "\nStatus: ")
	is.True(found)
	list, _, _ = strings.Cut(list, "\n\n")
	listed := make(map[string]string)
	for part := range strings.SplitSeq(list, "; ") {
		for _, m := range regexp.MustCompile("`(\\w+)`").FindAllStringSubmatch(part, -1) {
			listed[m[1]] = strings.TrimSpace(part)[:3]
		}
	}
	codes := []admin.Code{
		admin.CodeInvalid, admin.CodeRequest, admin.CodeKey, admin.CodeMissing, admin.CodeConflict,
		admin.CodeStale, admin.CodeUnavailable, admin.CodeUnknown, admin.CodeWaiting,
	}
	for _, c := range codes {
		is.Equal(listed[string(c)], strconv.Itoa(status(c)))
	}
	is.Equal(len(listed), len(codes))
}

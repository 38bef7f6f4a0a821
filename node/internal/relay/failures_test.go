package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// An outage makes hundreds of calls a second fail through each host. Each host gets a line a
// second, which says how many were left out.
func TestFailuresAreSummarised(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	l := failureLog{logger: zap.New(core), entries: make(map[string]*failureEntry)}
	now := time.Unix(1_800_000_000, 0)
	const perSecond, seconds = 100, 4
	for range seconds * perSecond {
		l.note("a", now)
		l.note("b", now)
		now = now.Add(time.Second / perSecond)
	}
	l.note("a", now)
	is.Equal(lines.Len(), 2*seconds+1)
	total := 0
	for _, line := range lines.FilterField(zap.String("through", "a")).All() {
		total += 1 + int(line.ContextMap()["omitted"].(int64))
	}
	is.Equal(total, seconds*perSecond+1)
}

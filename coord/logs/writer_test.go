package logs

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap/zapcore"
)

// stuck is a reader of the log that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

// A flood of lines to a reader that takes none doesn't hold anybody up, and the
// number of dropped lines is told.
func TestFloodDoesNotBlock(t *testing.T) {
	is := is.New(t)
	out := &stuck{release: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	began := time.Now()
	for range 3 * linesQueued {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(began) < time.Second)
	is.Equal(w.Dropped(), int64(2*linesQueued))
	close(out.release)
	cancel()
	is.NoErr(w.Run(ctx))
	is.True(strings.Contains(out.out.String(), `"log lines dropped","count":8192`))
	is.Equal(strings.Count(out.out.String(), "line\n"), linesQueued)
}

// One text that comes very often is thinned out; others are written.
func TestVolumeIsBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	left := 0
	l, err := NewBounded(zapcore.AddSync(&out), "info", "node", "h", "z", func() { left++ })
	is.NoErr(err)
	const flood = 10_000
	for range flood {
		l.Info("often")
	}
	l.Info("once")
	lines := strings.Count(out.String(), `"often"`)
	is.True(lines < 2*(linesEach+flood/linesAfter)) // A second may end meanwhile.
	is.Equal(left, flood-lines)
	is.Equal(strings.Count(out.String(), `"once"`), 1)
}

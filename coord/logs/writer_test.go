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

// blockedWriter is a writer that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

// TestFloodDoesNotBlock checks that many lines don't block their callers when the
// log isn't read, and that the number of dropped lines is logged.
func TestFloodDoesNotBlock(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out)
	ctx, cancel := context.WithCancel(context.Background())
	began := time.Now()
	for range 3 * queueSize {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(began) < time.Second)
	is.Equal(w.Dropped(), int64(2*queueSize))
	close(out.release)
	cancel()
	is.NoErr(w.Run(ctx))
	is.True(strings.Contains(out.out.String(), `"log lines dropped","count":8192`))
	is.Equal(strings.Count(out.out.String(), "line\n"), queueSize)
}

// TestVolumeIsBounded checks that a frequent message is sampled and another one
// isn't.
func TestVolumeIsBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	dropped := 0
	l, err := NewBounded(zapcore.AddSync(&out), "info", "node", "h", "z", func() { dropped++ })
	is.NoErr(err)
	const flood = 10_000
	for range flood {
		l.Info("often")
	}
	l.Info("once")
	lines := strings.Count(out.String(), `"often"`)
	is.True(lines < 2*(sampleFirst+flood/sampleThereafter)) // Twice, because a new second may begin during the test.
	is.Equal(dropped, flood-lines)
	is.Equal(strings.Count(out.String(), `"once"`), 1)
}

package serve

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// BenchmarkGoodput offers a multiple of the load that the placers can run, with
// callers that go on sending when they are refused. It reports the answers per
// second as a fraction of the capacity.
func BenchmarkGoodput(b *testing.B) {
	const slots, run = 16, 20 * time.Millisecond
	capacity := 2 * slots * float64(time.Second/run)
	for _, times := range []float64{0.5, 1, 2, 4} {
		b.Run("times "+strconv.FormatFloat(times, 'f', -1, 64), func(b *testing.B) {
			c := newCell(b)
			c.setScripts(script{answer: []byte("fine"), delay: run})
			for _, p := range c.placers {
				p.slots = make(chan struct{}, slots)
			}
			for b.Loop() {
				done, refused := c.offerLoad(b, capacity*times, 3*time.Second)
				b.ReportMetric(float64(done)/3/capacity, "goodput")
				b.ReportMetric(float64(refused)/3, "refused/s")
			}
		})
	}
}

// offerLoad sends requests at the given rate per second for a time span, spread
// over a fixed number of connections, and counts answers and refusals.
func (c *cell) offerLoad(b *testing.B, rate float64, span time.Duration) (done, refused int64) {
	const conns = 128
	pause := time.Duration(float64(time.Second) * conns / rate)
	msg := message(`,"idempotent":true,"deadline":"500ms"`)
	var answered, rejected atomic.Int64
	var g errgroup.Group
	end := time.Now().Add(span)
	for i := range conns {
		entry := []string{"a1", "a2", "b1", "b2"}[i%4]
		g.Go(func() error {
			conn, err := net.Dial("tcp", c.entries[entry].address)
			if err != nil {
				return err
			}
			defer func() { _ = conn.Close() }()
			in := bufio.NewReader(conn)
			time.Sleep(pause * time.Duration(i) / conns)
			for next := time.Now(); next.Before(end); next = next.Add(pause) {
				time.Sleep(time.Until(next))
				if _, err := conn.Write(msg); err != nil {
					return err
				}
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					return err
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					answered.Add(1)
					continue
				}
				rejected.Add(1)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
	return answered.Load(), rejected.Load()
}

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

// BenchmarkGoodput offers a multiple of what the placers can run, from
// callers that try again at once when they are refused, and reports the
// answers a second as a part of the capacity.
func BenchmarkGoodput(b *testing.B) {
	const slots, run = 16, 20 * time.Millisecond
	capacity := 2 * slots * float64(time.Second/run)
	for _, times := range []float64{0.5, 1, 2, 4} {
		b.Run("times "+strconv.FormatFloat(times, 'f', -1, 64), func(b *testing.B) {
			c := newCell(b)
			c.script(script{answer: []byte("fine"), delay: run})
			for _, p := range c.placers {
				p.slots = make(chan struct{}, slots)
			}
			for b.Loop() {
				done, refused := c.storm(b, capacity*times, 3*time.Second)
				b.ReportMetric(float64(done)/3/capacity, "goodput")
				b.ReportMetric(float64(refused)/3, "refused/s")
			}
		})
	}
}

// storm sends requests at the rate from as many connections as it takes, and
// counts answers and refusals.
func (c *cell) storm(b *testing.B, rate float64, span time.Duration) (done, refused int64) {
	const conns = 128
	pause := time.Duration(float64(time.Second) * conns / rate)
	msg := message(`,"idempotent":true,"deadline":"500ms"`)
	var ok, no atomic.Int64
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
					ok.Add(1)
					continue
				}
				no.Add(1)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		b.Fatal(err)
	}
	return ok.Load(), no.Load()
}

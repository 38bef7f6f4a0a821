package serve

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// cpu returns the CPU time, user and system, that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory returns the memory of heap and stacks in use after a collection, in
// bytes.
func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// message returns the bytes of an HTTP submission of a quick request.
func message(fields string) []byte {
	body := `{"queue":"shop","kind":"quick"` + fields + `}`
	return []byte("POST /v1/requests HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k1\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

// BenchmarkQuick sends quick requests over parallel connections through one
// entry to a placer. The CPU time includes the callers, the entry, the other
// holder and the placer, since all of them run in this process.
func BenchmarkQuick(b *testing.B) {
	for name, fields := range map[string]string{"idempotent": `,"idempotent":true`, "once": ""} {
		b.Run(name, func(b *testing.B) {
			c := newCell(b)
			msg := message(fields)
			begin := cpu()
			b.SetParallelism(1)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				conn, err := net.Dial("tcp", c.entries["a1"].address)
				if err != nil {
					b.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				for pb.Next() {
					if _, err := conn.Write(msg); err != nil {
						b.Error(err)
						return
					}
					resp, err := http.ReadResponse(in, nil)
					if err != nil || resp.StatusCode != http.StatusOK {
						b.Error(err, resp)
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			})
			b.ReportMetric(float64((cpu()-begin).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

// BenchmarkMemory measures the memory of open connections, first idle and then
// each with a request that waits at the placer. The figures include both ends
// of each connection and stream, since all of them run in this process.
func BenchmarkMemory(b *testing.B) {
	const conns = 1000
	c := newCell(b, func(c *cell) { c.running = conns })
	c.setScripts(script{runUntilCancelled: true})
	for b.Loop() {
		before := memory()
		open := make([]net.Conn, 0, conns)
		for range conns {
			conn, err := net.Dial("tcp", c.entries["a1"].address)
			if err != nil {
				b.Fatal(err)
			}
			open = append(open, conn)
		}
		time.Sleep(200 * time.Millisecond)
		idle := memory()
		msg := message(`,"idempotent":true,"cancel":true,"deadline":"20s"`)
		for _, conn := range open {
			_, _ = conn.Write(msg)
		}
		for c.entries["a1"].service.InFlight() < conns {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(500 * time.Millisecond)
		waiting := memory()
		b.ReportMetric(float64(idle-before)/conns, "B/conn")
		b.ReportMetric(float64(waiting-idle)/conns, "B/waiting")
		for _, conn := range open {
			_ = conn.Close()
		}
		for c.entries["a1"].service.InFlight() > 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

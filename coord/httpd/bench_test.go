package httpd

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// BenchmarkDoor measures small requests on one event loop. The reported CPU time
// includes the clients.
func BenchmarkDoor(b *testing.B) {
	ts := newTestServer(b, DefaultLimits(), echo)
	benchmarkDoor(b, func() net.Conn { return ts.dial() })
}

// BenchmarkDoorTLS measures small requests over TLS.
func BenchmarkDoorTLS(b *testing.B) {
	ts := newTLSTestServer(b, DefaultLimits(), echo)
	benchmarkDoor(b, func() net.Conn { return ts.dialTLS() })
}

func benchmarkDoor(b *testing.B, dial func() net.Conn) {
	msg := []byte(post("/a", "hello"))
	begin := cpuTime()
	b.SetParallelism(1)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		conn := dial()
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for pb.Next() {
			_, _ = conn.Write(msg)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
	b.ReportMetric(float64((cpuTime()-begin).Microseconds())/float64(b.N), "cpu-µs/op")
}

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHandshake measures TLS handshakes, one at a time.
func BenchmarkHandshake(b *testing.B) {
	ts := newTLSTestServer(b, DefaultLimits(), echo)
	begin := cpuTime()
	for b.Loop() {
		c := ts.dialTLS()
		if err := c.Handshake(); err != nil {
			b.Fatal(err)
		}
		_ = c.Close()
	}
	b.ReportMetric(float64((cpuTime()-begin).Microseconds())/float64(b.N), "cpu-µs/op")
}

// BenchmarkMemory reports the memory per idle connection that has served one
// request.
func BenchmarkMemory(b *testing.B) {
	plain, secure := newTestServer(b, DefaultLimits(), echo), newTLSTestServer(b, DefaultLimits(), echo)
	tests := map[string]func(net.Conn) net.Conn{
		"plain": func(c net.Conn) net.Conn { return c },
		"TLS":   func(c net.Conn) net.Conn { return secure.tlsClient(c, 0) },
	}
	for name, wrap := range tests {
		b.Run(name, func(b *testing.B) {
			const conns = 500
			ts := plain
			if name == "TLS" {
				ts = secure.testServer
			}
			for b.Loop() {
				raws := make([]net.Conn, 0, conns)
				before := heapBytes()
				for range conns {
					raw := ts.dial()
					c := wrap(raw)
					_, _ = c.Write([]byte(post("/a", "hello")))
					readResponse(b, bufio.NewReader(c))
					raws = append(raws, raw)
				}
				b.ReportMetric(float64(heapBytes()-before)/conns, "B/conn")
				for _, raw := range raws {
					_ = raw.Close()
				}
			}
		})
	}
}

// heapBytes returns the bytes in use by heap objects and stacks.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

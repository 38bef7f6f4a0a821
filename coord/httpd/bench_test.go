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

// BenchmarkDoor answers small requests on one event loop. The processor time
// is that of callers and server together.
func BenchmarkDoor(b *testing.B) {
	r := newRig(b, DefaultLimits(), echo)
	benchmarkDoor(b, func() net.Conn { return r.dial() })
}

// BenchmarkDoorTLS does the same over TLS.
func BenchmarkDoorTLS(b *testing.B) {
	r := newTLSRig(b, DefaultLimits(), echo)
	benchmarkDoor(b, func() net.Conn { return r.dialTLS() })
}

func benchmarkDoor(b *testing.B, dial func() net.Conn) {
	msg := []byte(post("/a", "hello"))
	begin := used()
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
	b.ReportMetric(float64((used()-begin).Microseconds())/float64(b.N), "cpu-µs/op")
}

// used returns the processor time that this process has used.
func used() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHandshake opens connections with TLS, one after another.
func BenchmarkHandshake(b *testing.B) {
	r := newTLSRig(b, DefaultLimits(), echo)
	begin := used()
	for b.Loop() {
		c := r.dialTLS()
		if err := c.Handshake(); err != nil {
			b.Fatal(err)
		}
		_ = c.Close()
	}
	b.ReportMetric(float64((used()-begin).Microseconds())/float64(b.N), "cpu-µs/op")
}

// BenchmarkMemory opens connections that have sent a request and are idle, and
// reports the memory of the server's side of each.
func BenchmarkMemory(b *testing.B) {
	plain, secure := newRig(b, DefaultLimits(), echo), newTLSRig(b, DefaultLimits(), echo)
	tests := map[string]func(net.Conn) net.Conn{
		"plain": func(c net.Conn) net.Conn { return c },
		"TLS":   func(c net.Conn) net.Conn { return secure.secure(c, 0) },
	}
	for name, wrap := range tests {
		b.Run(name, func(b *testing.B) {
			const conns = 500
			r := plain
			if name == "TLS" {
				r = secure.rig
			}
			for b.Loop() {
				raws := make([]net.Conn, 0, conns)
				before := heap()
				for range conns {
					raw := r.dial()
					c := wrap(raw)
					_, _ = c.Write([]byte(post("/a", "hello")))
					readAnswer(b, bufio.NewReader(c))
					raws = append(raws, raw)
				}
				b.ReportMetric(float64(heap()-before)/conns, "B/conn")
				for _, raw := range raws {
					_ = raw.Close()
				}
			}
		})
	}
}

// heap returns the bytes in use by objects and stacks.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

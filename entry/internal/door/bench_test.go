package door

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// BenchmarkDoor answers small requests on one event loop. The processor time
// is that of callers and server together.
func BenchmarkDoor(b *testing.B) {
	r := newRig(b, DefaultLimits(), echo)
	msg := []byte(post("/a", "hello"))
	begin := used()
	b.SetParallelism(1)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		conn, err := net.Dial("tcp", r.address)
		if err != nil {
			b.Error(err)
			return
		}
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

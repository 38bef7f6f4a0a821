package rig3

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

func readBody(r *http.Request) []byte {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	return data
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // The caller may be gone.
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
	wrong []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{out: f, began: time.Now()}, err
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken notes a broken rule.
func (r *record) broken(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.note("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrong = append(r.wrong, text)
}

func (r *record) faults() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.wrong...)
}

// server is an HTTP server on a loopback address that can be stopped and started again there.
type server struct {
	addr string
	http *http.Server
}

func serve(addr string, h http.Handler) (*server, error) {
	var ln net.Listener
	var err error
	for range 50 {
		if ln, err = net.Listen("tcp4", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	s := &server{addr: ln.Addr().String(), http: &http.Server{Handler: h}}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

func (s *server) stop() { _ = s.http.Close() }

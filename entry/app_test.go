package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/params"
	platform "github.com/balsamford/balsamford/standin/serve"
)

// testProcess runs an entry process with an in-memory platform, served over
// HTTP, and a placer that answers after a delay.
type testProcess struct {
	t             *testing.T
	settings      *params.Settings
	signals       chan os.Signal
	key           string
	operatorKey   string // secret of an operator key
	platformStore *store.Memory
	starts        atomic.Int64
	delay         time.Duration
	result        chan error
}

// freeAddress returns a random loopback address with a free TCP port. Other
// tests hardly ever use the same address.
func freeAddress(t *testing.T) string {
	t.Helper()
	part := func() string { return strconv.Itoa(1 + rand.IntN(250)) }
	ln, err := net.Listen("tcp", "127."+part()+"."+part()+"."+part()+":0")
	is.New(t).NoErr(err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// startProcess starts a testProcess and stops it when the test ends.
func startProcess(t *testing.T, delay, drain time.Duration, opts ...func(*params.Limits)) *testProcess {
	t.Helper()
	is := is.New(t)
	r := &testProcess{t: t, signals: make(chan os.Signal, 2), delay: delay, result: make(chan error, 1)}
	dir := t.TempDir()
	certs, err := link.IssueFiles(dir)
	is.NoErr(err)
	s := params.Default()
	s.Host, s.Zone, s.Zones = "a1", "a", []string{"a"}
	s.Door, s.Page, s.Link, s.Platform = freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	s.Certs = params.Certs{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "authority.pem")}
	s.Limits.Drain, s.Limits.Notice = setup.Duration(drain), setup.Duration(time.Millisecond)
	for _, opt := range opts {
		opt(&s.Limits)
	}
	s.Level = "error"
	s.Oper = &params.Oper{Address: freeAddress(t)}
	s.Placers = []params.Peer{{Name: "pa", Zone: "a", Link: r.servePlacer(certs)}}
	r.settings = s
	r.servePlatform()
	is.Equal(len(s.Check()), 0)
	a, err := newApp(s)
	is.NoErr(err)
	var g errgroup.Group
	g.Go(func() error { r.result <- a.run(context.Background(), r.signals); return nil })
	t.Cleanup(func() {
		r.signals <- syscall.SIGTERM
		r.signals <- syscall.SIGTERM
		_ = g.Wait()
	})
	return r
}

// servePlatform serves an in-memory platform that holds a configuration.
func (r *testProcess) servePlatform() {
	is := is.New(r.t)
	memory := store.New()
	r.platformStore = memory
	secret, digest := config.NewSecret("clerk")
	operator, own := config.NewSecret("ana")
	r.key, r.operatorKey = secret, operator
	hundred := int64(100)
	objects := []config.Object{
		&config.Team{Name: "red"}, &config.Key{Name: "clerk", Team: "red", Digest: digest}, &config.Queue{Name: "shop"},
		&config.Key{Name: "ana", Role: config.RoleOperator, Digest: own}, &config.Limit{Name: "red", Team: "red", Tasks: &hundred},
	}
	edit := &config.Edit{ID: audit.NewID(time.Now()), Author: "ana", Base: config.AnyVersion, Action: audit.Set, Put: objects}
	_, err := config.NewPublisher(memory, timer.New(), zap.NewNop()).Publish(context.Background(), edit)
	is.NoErr(err)
	ln, err := net.Listen("tcp", r.settings.Platform)
	is.NoErr(err)
	srv := &fasthttp.Server{Handler: platform.NewPlatform(memory).Handle}
	var g errgroup.Group
	g.Go(func() error { return srv.Serve(ln) })
	r.t.Cleanup(func() { _ = srv.Shutdown(); _ = g.Wait() })
}

// servePlacer serves the placer's verbs and returns the placer's address.
func (r *testProcess) servePlacer(certs link.TLS) string {
	n := link.New("pa", certs)
	n.Handle(wire.VerbLoad, link.HandlerFunc(func(_ context.Context, s *link.Stream) error {
		return s.Send(wire.Load{Name: "pa", Zone: "a", Free: map[wire.Kind]wire.Needs{wire.Quick: {Slots: 8}}})
	}))
	n.Handle(wire.VerbPlace, link.HandlerFunc(func(ctx context.Context, s *link.Stream) error {
		var req wire.Request
		if err := s.Recv(&req); err != nil {
			return err
		}
		r.starts.Add(1)
		_ = s.Send(wire.Event{ID: req.ID, Attempt: req.Attempt, Phase: wire.Sent})
		select {
		case <-time.After(r.delay):
		case <-ctx.Done():
			return ctx.Err()
		}
		_ = s.Send(wire.Event{ID: req.ID, Attempt: req.Attempt, Chunk: []byte("fine")})
		return s.Send(wire.Event{ID: req.ID, Attempt: req.Attempt, Outcome: wire.Done, Size: 4, Sum: xxhash.Sum64String("fine")})
	}))
	is.New(r.t).NoErr(n.Listen("127.0.0.1:0"))
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return n.Run(ctx) })
	r.t.Cleanup(func() { cancel(); _ = g.Wait() })
	return n.Address()
}

// get returns the status code and the body of a page.
func (r *testProcess) get(path string) (int, string) {
	resp, err := http.Get("http://" + r.settings.Page + path)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(body))
}

func (r *testProcess) submit() (int, http.Header, string) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+r.settings.Door+"/v1/requests",
		strings.NewReader(`{"queue":"shop","kind":"quick"}`))
	is.New(r.t).NoErr(err)
	req.Header.Set("Authorization", "Bearer "+r.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(body)
}

func (r *testProcess) waitFor(what string, cond func() bool) {
	r.t.Helper()
	for range 1000 {
		if cond() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.t.Fatal("this didn't happen within 10 s: " + what)
}

func (r *testProcess) ready() bool { code, _ := r.get("/ready"); return code == http.StatusOK }

// TestNotice checks that a stopping process reports that it isn't ready while it
// still serves requests, so that the load balancer loses none.
func TestNotice(t *testing.T) {
	is := is.New(t)
	r := startProcess(t, 0, 20*time.Second, func(l *params.Limits) { l.Notice = setup.Duration(time.Minute) })
	r.waitFor("ready", r.ready)
	r.signals <- syscall.SIGTERM
	r.waitFor("not ready", func() bool { _, why := r.get("/ready"); return why == "about to leave" })
	code, header, _ := r.submit()
	is.Equal(code, http.StatusOK)
	is.Equal(header.Get("Outcome"), string(wire.Done))
	r.signals <- syscall.SIGTERM // ends the notice time
	is.NoErr(<-r.result)
	is.Equal(r.starts.Load(), int64(1))
}

func TestStop(t *testing.T) {
	tests := map[string]struct {
		delay, drain time.Duration
		second       bool
		outcome      wire.Outcome
	}{
		"what runs is finished":   {delay: 700 * time.Millisecond, drain: 20 * time.Second, outcome: wire.Done},
		"the drain time ends it":  {delay: time.Minute, drain: 500 * time.Millisecond, outcome: wire.Unknown},
		"a second signal ends it": {delay: time.Minute, drain: time.Minute, second: true, outcome: wire.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := startProcess(t, tt.delay, tt.drain)
			r.waitFor("ready", r.ready)
			var code int
			var header http.Header
			var g errgroup.Group
			g.Go(func() error { code, header, _ = r.submit(); return nil })
			r.waitFor("running", func() bool { return r.starts.Load() == 1 })
			r.signals <- syscall.SIGTERM
			r.waitFor("not ready", func() bool { _, why := r.get("/ready"); return why == "leaving" })
			refused, head, _ := r.submit()
			is.Equal(refused, http.StatusServiceUnavailable)
			is.Equal(head.Get("Outcome"), string(wire.NotRun))
			is.Equal(head.Get("Reason"), wire.ReasonLeaving)
			if tt.second {
				r.signals <- syscall.SIGTERM
			}
			is.NoErr(g.Wait())
			is.True(code != 0) // The caller is answered.
			is.Equal(header.Get("Outcome"), string(tt.outcome))
			is.NoErr(<-r.result)
			is.Equal(r.starts.Load(), int64(1))
		})
	}
}

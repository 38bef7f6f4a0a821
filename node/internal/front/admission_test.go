package front

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/httpd"
	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/owner"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
	"github.com/balsamford/balsamford/platform/fake"
)

const jobID = "0123456789abcdef"

// fakes are what a Service depends on. The forecast says that all jobs wait for a minute.
type fakes struct {
	writes   atomic.Int32
	reads    atomic.Int32
	refused  atomic.Bool // the store refuses writes
	away     atomic.Bool // the store doesn't answer reads
	stored   atomic.Bool // the store has the job's row
	owned    atomic.Bool // the owner knows the job
	noted    atomic.Int32
	asked    atomic.Int32
	age      time.Duration
	forecast atomic.Pointer[plan.Forecast]
}

func (f *fakes) Write(*platform.Write) (int64, error) {
	if f.refused.Load() {
		return 0, &platform.RefusedError{Call: "store write", Status: http.StatusServiceUnavailable}
	}
	f.writes.Add(1)
	return 1, nil
}

func (f *fakes) Read(_, part, from, _ string) ([]platform.Row, int64, error) {
	f.reads.Add(1)
	if f.away.Load() {
		return nil, 0, &platform.LostError{Call: "store read"}
	}
	if !f.stored.Load() || from != board.AcceptKey(jobID) {
		return nil, 1, nil
	}
	put, err := board.Put(board.Table, part, from, board.Accepted{Queue: fake.QueueName})
	return []platform.Row{{Table: put.Table, Part: put.Part, Key: put.Key, Value: put.Value, Version: 1}}, 1, err
}

func (f *fakes) Slow() bool                                            { return false }
func (f *fakes) Failing() bool                                         { return false }
func (f *fakes) Submitted(*model.Job)                                  { f.noted.Add(1) }
func (f *fakes) Cancelled(string)                                      {}
func (f *fakes) CreateRows(string, []platform.Put) owner.CreateOutcome { return owner.NotAsked }
func (f *fakes) State(string) (owner.JobState, bool) {
	return owner.JobState{Known: f.owned.Load(), Queue: fake.QueueName}, f.owned.Load()
}
func (f *fakes) Forecast() (*plan.Forecast, time.Duration) { return f.forecast.Load(), f.age }
func (f *fakes) RefreshForecast()                          { f.asked.Add(1) }
func (f *fakes) Hosts() int                                { return 1 }

// Config implements Configs.
func (f *fakes) Config() *model.Config {
	c, err := platform.ParseConfig(fake.Config())
	if err != nil {
		panic(err)
	}
	return c
}

// serve runs a Service and returns a function that submits the job and returns the status and the Retry-After.
func serve(t *testing.T, f *fakes, r metrics.Registry) func() (int, string) {
	t.Helper()
	part := func() string { return strconv.Itoa(1 + rand.IntN(250)) }
	ln, err := net.Listen("tcp", "127."+part()+"."+part()+"."+part()+":0")
	is.New(t).NoErr(err)
	address := ln.Addr().String()
	_ = ln.Close()
	clock := timer.New()
	s := New(clock, f, board.New(zap.NewNop()), f, f, f, zap.NewNop(), r, WithForecasts(f))
	server := httpd.New(clock, s, httpd.WithLoops(1))
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return clock.Run(ctx) })
	g.Go(func() error { return s.Run(ctx) })
	g.Go(func() error { return server.Run(ctx, address) })
	<-server.Booted()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(g.Wait())
	})
	job := &fake.Job{Spec: "x", Steps: []fake.Step{{Count: 1, CPU: 1000}}}
	return func() (int, string) {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+fake.Queue+jobID, strings.NewReader(job.Body()))
		is.New(t).NoErr(err)
		req.Host = fake.Host
		req.Header.Set("Authorization", "Bearer "+fake.Key)
		resp, err := http.DefaultClient.Do(req)
		is.New(t).NoErr(err)
		_ = resp.Body.Close()
		return resp.StatusCode, resp.Header.Get("Retry-After")
	}
}

// A rejected job must never have been written, and an accepted one must not be rejected, whatever the load and
// whichever of the board, the owner and the store knows it.
func TestRejectedJobIsNeverWritten(t *testing.T) {
	const minute = 60_000
	waits := plan.Waits{minute, minute, minute}
	overloaded := func() *plan.Forecast {
		return &plan.Forecast{Queues: map[string]*plan.QueueForecast{fake.QueueName: {Room: [2]plan.Waits{waits, waits}, Margins: [2]float64{1, 1}, Pace: 1}}}
	}
	tests := map[string]struct {
		change func(f *fakes)
		code   int
		writes int32
		asked  int32
	}{
		"overload":                    {code: http.StatusServiceUnavailable},
		"forecast isn't fresh":        {code: http.StatusServiceUnavailable, asked: 1, change: func(f *fakes) { f.age = 400 * time.Millisecond }},
		"no backlog":                  {code: http.StatusOK, writes: 1, change: func(f *fakes) { f.forecast.Store(&plan.Forecast{}) }},
		"host hasn't heard":           {code: http.StatusOK, writes: 1, change: func(f *fakes) { f.forecast.Store(nil) }},
		"owner killed or cut off":     {code: http.StatusOK, writes: 1, change: func(f *fakes) { f.age = 1100 * time.Millisecond }},
		"owner has just taken over":   {code: http.StatusOK, writes: 1, change: func(f *fakes) { f.forecast.Load().Unknown = true }},
		"accepted, the owner knows":   {code: http.StatusOK, change: func(f *fakes) { f.owned.Store(true) }},
		"accepted, only stored":       {code: http.StatusOK, change: func(f *fakes) { f.stored.Store(true) }},
		"store fails reads":           {code: http.StatusOK, writes: 1, change: func(f *fakes) { f.away.Store(true) }},
		"store fails reads and write": {code: http.StatusServiceUnavailable, change: func(f *fakes) { f.away.Store(true); f.refused.Store(true) }},
		"accepted, store fails write": {code: http.StatusServiceUnavailable, change: func(f *fakes) { f.forecast.Store(nil); f.refused.Store(true) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, r := &fakes{}, metrics.NewRegistry()
			f.forecast.Store(overloaded())
			if tt.change != nil {
				tt.change(f)
			}
			submit := serve(t, f, r)
			code, retry := submit()
			is.Equal(code, tt.code)
			is.Equal(retry != "", tt.code == http.StatusServiceUnavailable)
			is.Equal(f.writes.Load(), tt.writes)
			is.Equal(f.asked.Load(), tt.asked)
			rejected := metrics.GetOrRegisterCounter("node.front.rejected.room", r).Count()
			is.Equal(rejected == 1, tt.code == http.StatusServiceUnavailable && !f.refused.Load())
		})
	}
}

// A client that got no answer submits again. If the job was accepted meanwhile, or its write is in doubt, a
// rejection would be false.
func TestRepeatedSubmissionIsNotRejected(t *testing.T) {
	is := is.New(t)
	f := &fakes{}
	submit := serve(t, f, metrics.NewRegistry())
	f.refused.Store(true)
	code, _ := submit()
	is.Equal(code, http.StatusServiceUnavailable) // by the store
	f.refused.Store(false)
	waits := plan.Waits{60_000, 60_000, 60_000}
	f.forecast.Store(&plan.Forecast{Queues: map[string]*plan.QueueForecast{fake.QueueName: {Room: [2]plan.Waits{waits, waits}, Margins: [2]float64{1, 1}}}})
	code, _ = submit()
	is.Equal(code, http.StatusOK)
	is.Equal(f.writes.Load(), int32(1))
}

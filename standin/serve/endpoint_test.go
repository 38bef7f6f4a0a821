package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

const minute = time.Minute

// encodeBody returns b as JSON.
func encodeBody(t *testing.T, b engine.Body) []byte {
	t.Helper()
	data, err := json.Marshal(b)
	is.New(t).NoErr(err)
	return data
}

// openEndpoint returns an endpoint that testOwner has opened, its address and a
// client.
func openEndpoint(t *testing.T, kind point.Kind, opts ...engine.Option) (*engine.Endpoint, string, *point.Client) {
	t.Helper()
	opts = append([]engine.Option{engine.WithTimer(runTimer(t)), engine.WithKind(kind),
		engine.WithCapacity(wire.Needs{CPU: 4000, Mem: 8 << 30, Slots: 8, Conns: 60})}, opts...)
	e := engine.New("e1", opts...)
	address := listen(t, NewEndpoint(e).Handle)
	c := point.NewClient()
	t.Cleanup(c.Close)
	v, err := c.Open(context.Background(), address, point.Open{Owner: testOwner(), Term: minute})
	is.New(t).NoErr(err)
	is.New(t).Equal(v.Owner, testOwner())
	return e, address, c
}

func testOwner() point.Owner { return point.Owner{Holder: "p1", Epoch: 3} }

func quickStart(t *testing.T, id string, b engine.Body) point.Start {
	return point.Start{Owner: testOwner(), ID: id, Attempt: 1, Kind: wire.Quick, Lease: minute, Body: encodeBody(t, b)}
}

func TestRunOverHTTP(t *testing.T) {
	is := is.New(t)
	_, address, c := openEndpoint(t, point.Executor)
	const size = 5<<20 + 3
	a, err := c.Run(context.Background(), address, quickStart(t, "r/0", engine.Body{Size: size, Seed: 7}))
	is.NoErr(err)
	defer func() { is.NoErr(a.Close()) }()
	is.Equal(a.ID(), "r/0")
	is.Equal(a.Epoch(), uint64(3))
	is.Equal(a.Size(), int64(size))
	data, err := io.ReadAll(a)
	is.NoErr(err)
	is.True(bytes.Equal(data, engine.Answer("r/0", 7, size)))
}

func TestRunFailures(t *testing.T) {
	tests := map[string]struct {
		faults engine.Faults
		start  func(*point.Start)
		body   engine.Body
		check  func(is *is.I, err error)
	}{
		"cut short":   {faults: engine.Faults{Short: true}, body: engine.Body{Size: 100000}, check: checkLost},
		"answer lost": {faults: engine.Faults{Next: 1}, check: checkLost},
		"down":        {faults: engine.Faults{Down: true}, check: checkLost},
		"foreign":     {faults: engine.Faults{Double: true}, check: checkLost},
		"holder cut":  {faults: engine.Faults{Cut: []string{"p1"}}, check: checkLost},
		"leaving": {faults: engine.Faults{Leaving: true}, check: func(is *is.I, err error) {
			var refused *point.RefusedError
			is.True(errors.As(err, &refused))
			is.Equal(refused.Reason, wire.ReasonLeaving)
		}},
		"too large": {start: func(s *point.Start) { s.Needs.Slots = 9 }, check: func(is *is.I, err error) {
			var refused *point.RefusedError
			is.True(errors.As(err, &refused))
			is.Equal(refused.Reason, wire.ReasonBusy)
		}},
		"older epoch": {start: func(s *point.Start) { s.Epoch = 2 }, check: func(is *is.I, err error) {
			var fenced *point.FencedError
			is.True(errors.As(err, &fenced))
			is.Equal(fenced.Owner, testOwner())
		}},
		"failed": {body: engine.Body{Fail: true, Code: 4}, check: func(is *is.I, err error) {
			var failed *point.FailedError
			is.True(errors.As(err, &failed))
			is.Equal(failed.State, point.Failed)
			is.Equal(failed.Code, 4)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, address, c := openEndpoint(t, point.Executor)
			ctx := context.Background()
			first, err := c.Run(ctx, address, quickStart(t, "first", engine.Body{}))
			is.NoErr(err)
			is.NoErr(first.Close())
			e.SetFaults(tt.faults)
			in := quickStart(t, "second", tt.body)
			if tt.start != nil {
				tt.start(&in)
			}
			a, err := c.Run(ctx, address, in)
			if err == nil {
				_, err = io.ReadAll(a)
				is.NoErr(a.Close())
			}
			tt.check(is, err)
		})
	}
}

func checkLost(is *is.I, err error) {
	var lost *point.LostError
	is.True(errors.As(err, &lost))
	is.True(!lost.Unsent)
}

// TestRunEndsWithItsContext checks that a call to a frozen endpoint ends with the
// caller's context, before the response and in the middle of its body.
func TestRunEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	e, address, c := openEndpoint(t, point.Executor)
	ctx, cancel := context.WithCancel(context.Background())
	a, err := c.Run(ctx, address, quickStart(t, "large", engine.Body{Size: 16 << 20}))
	is.NoErr(err)
	e.SetFaults(engine.Faults{Freeze: true})
	var g errgroup.Group
	g.Go(func() error {
		_, err := c.Run(ctx, address, quickStart(t, "frozen", engine.Body{}))
		return err
	})
	cancel()
	var lost *point.LostError
	is.True(errors.As(g.Wait(), &lost))
	_, err = io.Copy(io.Discard, a)
	checkLost(is, err)
	is.NoErr(a.Close())
	e.SetFaults(engine.Faults{})
}

func TestWorkerOverHTTP(t *testing.T) {
	is := is.New(t)
	e, address, c := openEndpoint(t, point.Worker)
	ctx := context.Background()
	in := point.Start{Owner: testOwner(), ID: "b/0", Attempt: 1, Kind: wire.Batch, Lease: minute,
		Needs: wire.Needs{CPU: 1000}, Body: encodeBody(t, engine.Body{Work: setup.Duration(20 * time.Millisecond), Size: 10, Seed: 1})}
	is.NoErr(c.Start(ctx, address, in))
	is.NoErr(c.Start(ctx, address, in)) // the same again
	r, err := c.Renew(ctx, address, point.Renew{Owner: testOwner(), Term: minute, Lease: minute})
	is.NoErr(err)
	for len(r.Tasks) == 0 || !r.Tasks[0].State.Ended() {
		r, err = c.Renew(ctx, address, point.Renew{Owner: testOwner(), Term: minute, Lease: minute, Since: r.Seq, Wait: 5 * time.Second})
		is.NoErr(err)
	}
	is.Equal(len(r.Tasks), 1)
	is.Equal(r.Tasks[0].State, point.Done)
	is.Equal(r.Tasks[0].Output, engine.Answer("b/0", 1, 10))
	began := 0
	for _, ev := range e.Log().Events() {
		if ev.Event == engine.Began {
			began++
		}
	}
	is.Equal(began, 1)
	_, err = c.Renew(ctx, address, point.Renew{Owner: testOwner(), Term: minute, Lease: minute, Ack: r.Seq})
	is.NoErr(err)
	v, err := c.View(ctx, address)
	is.NoErr(err)
	is.Equal(len(v.Tasks), 0)
	is.NoErr(c.Stop(ctx, address, point.Stop{Owner: testOwner(), ID: "late", Attempt: 1, Mode: point.ModeStop}))
	in.ID = "late"
	var refused *point.RefusedError
	is.True(errors.As(c.Start(ctx, address, in), &refused))
	is.Equal(refused.Reason, wire.ReasonCancel)
	is.NoErr(c.Release(ctx, address, testOwner()))
	var fenced *point.FencedError
	is.True(errors.As(c.Release(ctx, address, testOwner()), &fenced))
}

func TestUnsentWithoutConnection(t *testing.T) {
	is := is.New(t)
	c := point.NewClient()
	defer c.Close()
	_, err := c.View(context.Background(), "127.0.0.1:9")
	var lost *point.LostError
	is.True(errors.As(err, &lost))
	is.True(lost.Unsent)
}

package oper

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
)

// testServer is a Server on a loopback address with an in-memory platform.
type testServer struct {
	t        *testing.T
	platform *store.Memory
	follower *config.Follower
	url      string
	secret   string
}

// startServer runs a testServer until the test ends.
func startServer(t *testing.T) *testServer {
	t.Helper()
	is := is.New(t)
	timers := timer.New()
	platform := store.New(store.WithTimer(timers))
	follower := config.NewFollower("h1", "z1", platform, timers, config.WithPeriod(2*time.Second, 20*time.Millisecond))
	secret, digest := config.NewSecret("bootstrap")
	d := New(Settings{Address: "127.0.0.1:0", Host: "h1", Bootstrap: digest}, platform, follower, timers)
	is.NoErr(d.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return timers.Run(ctx) })
	g.Go(func() error { return follower.Run(ctx) })
	g.Go(func() error { return d.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		is.NoErr(g.Wait())
	})
	return &testServer{t: t, platform: platform, follower: follower, url: "http://" + d.Address(), secret: secret}
}

// do sends a request and returns the status code and the body.
func (d *testServer) do(method, path string, in any) (int, []byte) {
	d.t.Helper()
	is := is.New(d.t)
	body, err := json.Marshal(in)
	is.NoErr(err)
	req, err := http.NewRequestWithContext(d.t.Context(), method, d.url+path, bytes.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+d.secret)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	out, err := io.ReadAll(res.Body)
	is.NoErr(err)
	return res.StatusCode, out
}

func (d *testServer) publish(text string, action audit.Action, base *uint64) (int, []byte) {
	d.t.Helper()
	return d.do(http.MethodPost, admin.PathPublish, admin.Change{
		Base: base, Action: action, Wait: true, Files: []config.File{{Name: "a.toml", Data: []byte(text)}},
	})
}

// bootstrap publishes a first configuration with the bootstrap secret and uses
// its operator key from then on.
func (d *testServer) bootstrap(text string) {
	d.t.Helper()
	is := is.New(d.t)
	secret, digest := config.NewSecret("ops")
	status, out := d.publish("[key.ops]\nrole = \"operator\"\ndigest = \""+string(digest)+"\"\n"+text, audit.Publish, new(uint64))
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(string(out), `"accepted":true`))
	old := d.secret
	status, _ = d.do(http.MethodGet, admin.PathConfig, nil)
	is.Equal(status, http.StatusUnauthorized) // the bootstrap secret is no longer valid
	d.secret = secret
	is.True(old != secret)
	// The host honours no keys until a read that was sent after it was listed has confirmed the version.
	deadline := time.Now().Add(10 * time.Second)
	for !d.follower.Fresh() {
		is.True(time.Now().Before(deadline)) // the configuration is confirmed
		time.Sleep(time.Millisecond)
	}
}

func TestDoor(t *testing.T) {
	is := is.New(t)
	d := startServer(t)
	d.bootstrap("[team.shop]\n")

	status, out := d.do(http.MethodGet, admin.PathConfig+"?object=team.shop", nil)
	is.Equal(status, http.StatusOK)
	is.Equal(string(out), "[team.shop]\n")

	status, out = d.publish("[limit.x]\nteam = \"shp\"\ntasks = 4\n", audit.Set, nil)
	is.Equal(status, http.StatusBadRequest)
	is.True(strings.Contains(string(out), `write \"shop\"`))

	status, out = d.publish("[limit.shop]\nteam = \"shop\"\ntasks = 4\n", audit.Set, nil)
	is.Equal(status, http.StatusOK)
	lines := bufio.NewScanner(bytes.NewReader(out))
	var last admin.Step
	for lines.Scan() {
		is.NoErr(json.Unmarshal(lines.Bytes(), &last))
	}
	is.True(last.Done && last.Failure == nil && last.Progress.Accepted)
	is.Equal(last.Version, uint64(2))
	is.Equal(last.Progress.Confirmed, []string{"h1"})

	one := uint64(1)
	status, out = d.publish("[team.north]\n", audit.Set, &one)
	is.Equal(status, http.StatusConflict)
	var failure admin.Failure
	is.NoErr(json.Unmarshal(out, &failure))
	is.Equal(failure.Code, admin.CodeConflict)
	is.Equal(failure.Conflict.Theirs[0].Ref.String(), "limit.shop")

	status, out = d.do(http.MethodGet, admin.PathDiff+"?from=1&to=2", nil)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(string(out), "limit"))

	status, _ = d.do(http.MethodPut, admin.PathHost+"h1?note=disk", nil)
	is.Equal(status, http.StatusOK)
	status, out = d.do(http.MethodGet, admin.PathHosts, nil)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(string(out), `"drained":true`))

	status, out = d.do(http.MethodGet, admin.PathAudit, nil)
	is.Equal(status, http.StatusOK)
	var records []audit.Record
	is.NoErr(json.Unmarshal(out, &records))
	seen := make(map[string]int)
	for _, r := range records {
		seen[string(r.Action)+" "+string(r.Verdict)]++
	}
	is.Equal(seen["publish accepted"], 1)
	is.Equal(seen["set accepted"], 1)
	is.Equal(seen["set refused"], 1)
	is.Equal(seen["set conflict"], 1)
	is.Equal(seen["drain accepted"], 1)
	is.Equal(seen["deny refused"], 1)
	is.True(seen["read accepted"] >= 4)

	status, out = d.do(http.MethodGet, admin.PathVersions, nil)
	is.Equal(status, http.StatusOK)
	var heads []config.Head
	is.NoErr(json.Unmarshal(out, &heads))
	is.Equal(heads[0].Version, uint64(2))
	is.Equal(heads[0].Author, "ops")
}

func TestDoorRefusesKeys(t *testing.T) {
	caller, callerDigest := config.NewSecret("shop-1")
	tests := map[string]struct {
		secret string
		down   bool
		want   int
	}{
		"no secret":     {secret: "", want: http.StatusUnauthorized},
		"unknown":       {secret: "ops.abc", want: http.StatusUnauthorized},
		"caller's key":  {secret: caller, want: http.StatusUnauthorized},
		"digest as key": {secret: string(callerDigest), want: http.StatusUnauthorized},
	}
	d := startServer(t)
	d.bootstrap("[team.shop]\n[key.shop-1]\nteam = \"shop\"\ndigest = \"" + string(callerDigest) + "\"\n")
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d.secret = tt.secret
			for _, path := range []string{admin.PathConfig, admin.PathHost + "h1", "/none"} {
				status, out := d.do(http.MethodGet, path, nil)
				is.Equal(status, tt.want)
				is.True(!strings.Contains(string(out), "shop"))
			}
		})
	}
}

// TestKeyUsesAreRecorded checks that each request with an operator key, even one
// that fails, adds exactly one audit record with the key's name.
func TestKeyUsesAreRecorded(t *testing.T) {
	tests := map[string]struct {
		method, path string
		body         any
		status       int
	}{
		"read":            {method: http.MethodGet, path: admin.PathConfig, status: http.StatusOK},
		"check":           {method: http.MethodPost, path: admin.PathCheck, body: admin.Change{Action: audit.Set}, status: http.StatusOK},
		"no such page":    {method: http.MethodGet, path: "/none", status: http.StatusNotFound},
		"no such method":  {method: http.MethodPost, path: admin.PathHost + "h1", status: http.StatusNotFound},
		"not a change":    {method: http.MethodPost, path: admin.PathPublish, body: "x", status: http.StatusBadRequest},
		"not an id":       {method: http.MethodPost, path: admin.PathPublish, body: admin.Change{ID: "x", Action: audit.Set}, status: http.StatusBadRequest},
		"faulty":          {method: http.MethodPost, path: admin.PathPublish, body: admin.Change{Action: audit.Delete, Delete: []config.Ref{config.ParseRef("team.x")}}, status: http.StatusBadRequest},
		"drain":           {method: http.MethodPut, path: admin.PathHost + "h1", status: http.StatusOK},
		"end of the same": {method: http.MethodDelete, path: admin.PathHost + "h1", status: http.StatusOK},
	}
	d := startServer(t)
	d.bootstrap("[team.shop]\n")
	trail := audit.New(d.platform)
	records := func() []audit.Record {
		now := time.Now()
		out, err := trail.Query(t.Context(), audit.Query{Since: now.Add(-time.Hour), Until: now.Add(time.Hour), Who: "ops"})
		is.New(t).NoErr(err)
		return out
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := len(records())
			status, _ := d.do(tt.method, tt.path, tt.body)
			is.Equal(status, tt.status)
			is.Equal(len(records()), before+1)
		})
	}
}

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/parts"
)

// setLimit sets the limit of team red through the operator API and calls
// onProgress with each step until the publish has ended. It returns the last
// step.
func (r *testProcess) setLimit(tasks string, onProgress func(*config.Progress)) admin.Step {
	is := is.New(r.t)
	change := admin.Change{Action: audit.Set, Wait: true, Timeout: 40 * time.Second,
		Files: []config.File{{Name: "limit.toml", Data: []byte("[limit.red]\nteam = \"red\"\ntasks = " + tasks + "\n")}}}
	body, err := json.Marshal(change)
	is.NoErr(err)
	req, err := http.NewRequestWithContext(r.t.Context(), http.MethodPost, "http://"+r.settings.Oper.Address+admin.PathPublish, bytes.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+r.operatorKey)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	var last admin.Step
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		is.NoErr(json.Unmarshal(lines.Bytes(), &last))
		if last.Progress != nil {
			onProgress(last.Progress)
		}
	}
	return last
}

// The operator API of an entry must not report a lowered limit as accepted
// while a placer holds a larger share, and must do so once that was returned.
func TestLoweredLimitWaitsAtTheDoor(t *testing.T) {
	is := is.New(t)
	r := startProcess(t, 0, 20*time.Second)
	r.waitFor("ready", r.ready)
	_, err := parts.SetLimit(t.Context(), r.platformStore, "red", parts.AtMost(100), r.settings.Zones)
	is.NoErr(err)
	h := parts.New("pa", "a")
	h.Limit(map[string]parts.Dims{"red": parts.DimsOf(parts.Tasks)})
	is.True(!h.Take("red", parts.Count(80))) // The refusal requests a larger share.
	is.NoErr(h.Settle(t.Context(), r.platformStore, "red", parts.Amount{}))
	part, _ := h.Part("red")
	is.Equal(part[parts.Tasks], int64(80))
	waited := false
	last := r.setLimit("10", func(p *config.Progress) {
		part, _ := h.Part("red")
		is.True(!p.Accepted || part[parts.Tasks] <= 10)
		if len(p.Waits) == 0 {
			return
		}
		waited = true
		for range 4 { // A recently used share is only returned after some rounds.
			is.NoErr(h.Settle(t.Context(), r.platformStore, "red", parts.Amount{}))
		}
	})
	is.True(waited)
	is.True(last.Done)
}

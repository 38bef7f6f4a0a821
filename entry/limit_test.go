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

// lower sets the limit of the team red by way of the operators' door and calls
// see with each step until the publish has ended.
func (r *rig) lower(tasks string, see func(*config.Progress)) admin.Step {
	is := is.New(r.t)
	change := admin.Change{Action: audit.Set, Wait: true, Timeout: 40 * time.Second,
		Files: []config.File{{Name: "limit.toml", Data: []byte("[limit.red]\nteam = \"red\"\ntasks = " + tasks + "\n")}}}
	body, err := json.Marshal(change)
	is.NoErr(err)
	req, err := http.NewRequestWithContext(r.t.Context(), http.MethodPost, "http://"+r.settings.Oper.Address+admin.PathPublish, bytes.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+r.oper)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	var last admin.Step
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		is.NoErr(json.Unmarshal(lines.Bytes(), &last))
		if last.Progress != nil {
			see(last.Progress)
		}
	}
	return last
}

// A lowered limit isn't accepted at the operators' door of an entry while a
// placer holds more, and is once that was given back.
func TestLoweredLimitWaitsAtTheDoor(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 0, 20*time.Second)
	r.until("ready", r.ready)
	_, err := parts.SetLimit(t.Context(), r.memory, "red", parts.AtMost(100), r.settings.Zones)
	is.NoErr(err)
	h := parts.New("pa", "a")
	h.Limit(map[string]parts.Dims{"red": parts.DimsOf(parts.Tasks)})
	is.True(!h.Take("red", parts.Count(80))) // It asks for room.
	is.NoErr(h.Settle(t.Context(), r.memory, "red", parts.Amount{}))
	part, _ := h.Part("red")
	is.Equal(part[parts.Tasks], int64(80))
	waited := false
	last := r.lower("10", func(p *config.Progress) {
		part, _ := h.Part("red")
		is.True(!p.Accepted || part[parts.Tasks] <= 10)
		if len(p.Waits) == 0 {
			return
		}
		waited = true
		for range 4 { // A part that was needed lately goes back after a while.
			is.NoErr(h.Settle(t.Context(), r.memory, "red", parts.Amount{}))
		}
	})
	is.True(waited)
	is.True(last.Done)
}

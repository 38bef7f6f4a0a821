package shell

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/config"
)

// TestProgress checks the output of a change with --wait. On a terminal one line is
// overwritten and names the hosts that haven't confirmed; otherwise each step is
// printed as JSON.
func TestProgress(t *testing.T) {
	steps := []admin.Step{
		{ID: "i", Version: 4, Published: true, Changes: []config.Difference{{Ref: config.ParseRef("team.a"), New: "[team.a]\n"}}},
		{ID: "i", Version: 4, Progress: &config.Progress{Confirmed: []string{"h1"}, Missing: []string{"h2"}, Lapse: time.Second}},
		{ID: "i", Version: 4, Done: true, Progress: &config.Progress{Confirmed: []string{"h1"}, Missing: []string{"h2"}, Accepted: true}},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for _, s := range steps {
			_ = json.NewEncoder(w).Encode(s)
		}
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "a.toml")
	is.New(t).NoErr(os.WriteFile(file, []byte("[team.a]\n"), 0o600))
	tests := map[string]struct {
		terminal bool
		want     string
	}{
		"terminal": {terminal: true, want: "+ [team.a]\nversion 4 is published (i)\n" +
			"\r\x1b[Kversion 4: 1 of 2 confirmed, missing h2; lapsed in 1s" +
			"\r\x1b[Kversion 4 is in force: 1 confirmed, 1 lapsed (h2)\n"},
		"elsewhere": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, log bytes.Buffer
			env := map[string]string{"BALSAM_KEY": "ops.secret", "BALSAM_DOOR": strings.TrimPrefix(server.URL, "http://")}
			code := Run(context.Background(), []string{"set", file, "--wait"},
				Streams{In: strings.NewReader(""), Out: &out, Err: &log, Terminal: tt.terminal}, func(k string) string { return env[k] })
			is.Equal(code, OK)
			is.Equal(log.String(), "")
			if tt.terminal {
				is.Equal(out.String(), tt.want)
				return
			}
			var got []admin.Step
			for line := range strings.Lines(out.String()) {
				var s admin.Step
				is.NoErr(json.Unmarshal([]byte(line), &s))
				got = append(got, s)
			}
			is.Equal(got, steps)
		})
	}
}

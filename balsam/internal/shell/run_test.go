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

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/wire"
)

// TestExitCodes runs commands against a server that sends the status and the answer of
// the table.
func TestExitCodes(t *testing.T) {
	fail := func(c admin.Code) any {
		return &admin.Failure{Code: c, Text: "text", ID: "20300131T120000.000-aabbccddeeff"}
	}
	tests := map[string]struct {
		args   []string
		status int
		answer []any
		want   Code
		out    string // part of the output
		sent   string // part of the request that the server receives
	}{
		"check":             {args: []string{"check", "good.toml"}, want: OK, out: "1 objects"},
		"check fails":       {args: []string{"check", "all/bad.toml"}, want: Invalid, out: `all/bad.toml:3: limit.x: team: there is no team "a"`},
		"check all fails":   {args: []string{"check", "all"}, want: Invalid, out: "all/bad.toml:3"},
		"no file":           {args: []string{"check", "none.toml"}, want: Usage, out: "none.toml"},
		"bad reference":     {args: []string{"delete", "shop"}, want: Usage, out: "key.shop-1"},
		"bad base":          {args: []string{"set", "good.toml", "--base", "x"}, want: Usage, out: "--base"},
		"publish":           {args: []string{"publish", "good.toml"}, status: 200, answer: []any{admin.Step{Version: 4, Published: true, Done: true}}, want: OK, out: "version 4 is published", sent: `"action":"publish"`},
		"set with base":     {args: []string{"set", "good.toml", "--base", "3"}, status: 200, answer: []any{admin.Step{Version: 4, Published: true, Done: true}}, want: OK, sent: `"base":3`},
		"delete":            {args: []string{"delete", "team.a", "key.b"}, status: 200, answer: []any{admin.Step{Version: 4, Published: true, Done: true}}, want: OK, sent: `{"type":"key","name":"b"}`},
		"unchanged":         {args: []string{"set", "good.toml"}, status: 200, answer: []any{admin.Step{Version: 4, Unchanged: true, Done: true}}, want: OK, out: "has this already"},
		"waits":             {args: []string{"set", "good.toml", "--wait"}, status: 200, answer: []any{admin.Step{Version: 4}, admin.Step{Version: 4, Done: true, Progress: &config.Progress{Accepted: true}}}, want: OK, out: `"accepted":true`, sent: `"wait":true`},
		"waits in vain":     {args: []string{"set", "good.toml", "--wait"}, status: 200, answer: []any{admin.Step{Version: 4, Done: true, Failure: &admin.Failure{Code: admin.CodeWaiting}}}, want: Waiting},
		"answer breaks":     {args: []string{"set", "good.toml", "--wait"}, status: 200, answer: []any{admin.Step{Version: 4, Published: true}}, want: Unknown, out: "--id"},
		"conflict":          {args: []string{"set", "good.toml"}, status: 409, answer: []any{&admin.Failure{Code: admin.CodeConflict, Text: "text", Conflict: &config.ConflictError{Base: 3, Theirs: []config.Difference{{New: "[team.b]\n"}}}}}, want: Conflict, out: "+ [team.b]"},
		"refused":           {args: []string{"publish", "good.toml"}, status: 400, answer: []any{&admin.Failure{Code: admin.CodeInvalid, Text: "text", Faults: []config.Fault{{Text: "fault"}}}}, want: Invalid, out: "fault"},
		"stale":             {args: []string{"publish", "good.toml"}, status: 503, answer: []any{fail(admin.CodeStale)}, want: Unavailable, out: "another host"},
		"unavailable":       {args: []string{"publish", "good.toml"}, status: 503, answer: []any{fail(admin.CodeUnavailable)}, want: Unavailable, out: "nothing was done"},
		"unknown":           {args: []string{"publish", "good.toml"}, status: 504, answer: []any{fail(admin.CodeUnknown)}, want: Unknown, out: "--id 20300131T120000.000-aabbccddeeff"},
		"key":               {args: []string{"show"}, status: 401, answer: []any{fail(admin.CodeKey)}, want: Refused},
		"missing":           {args: []string{"show", "team.x"}, status: 404, answer: []any{fail(admin.CodeMissing)}, want: Missing, sent: "object=team.x"},
		"failure as JSON":   {args: []string{"show", "--output", "json"}, status: 404, answer: []any{fail(admin.CodeMissing)}, want: Missing, out: `"code":"missing"`},
		"hosts":             {args: []string{"hosts"}, status: 200, answer: []any{[]admin.Host{{Name: "h1", Reached: true, Drained: true}}}, want: OK, out: "confirmed,drained"},
		"drain":             {args: []string{"drain", "h1", "--note", "disk"}, status: 200, answer: []any{admin.Empty{}}, want: OK, sent: "PUT /v1/drain/h1?note=disk"},
		"end of drain":      {args: []string{"drain", "h1", "--end"}, status: 200, answer: []any{admin.Empty{}}, want: OK, sent: "DELETE /v1/drain/h1"},
		"audit":             {args: []string{"audit", "--object", "key."}, status: 200, answer: []any{[]admin.Empty{}}, want: OK, out: "VERDICT", sent: "object=key."},
		"submit not run":    {args: []string{"submit", "--queue", "q"}, status: 503, answer: []any{reply{Outcome: wire.NotRun}}, want: NotRun, sent: `"queue":"q"`},
		"submit failed":     {args: []string{"submit", "--queue", "q"}, status: 424, answer: []any{reply{Outcome: wire.Failed}}, want: Failed},
		"submit unknown":    {args: []string{"submit", "--queue", "q"}, status: 500, answer: []any{reply{Outcome: wire.Unknown}}, want: Unknown},
		"submit refused":    {args: []string{"submit", "--queue", "q"}, status: 401, answer: []any{reply{Outcome: wire.NotRun, Reason: wire.ReasonKey}}, want: Refused},
		"submit no queue":   {args: []string{"submit"}, want: Usage, out: "--queue"},
		"status":            {args: []string{"status", "x"}, status: 200, answer: []any{reply{Phase: wire.Running}}, want: OK, sent: "GET /v1/requests/x"},
		"status, none":      {args: []string{"status", "x"}, status: 404, answer: []any{reply{}}, want: Missing},
		"result":            {args: []string{"result", "x"}, status: 200, answer: []any{reply{Phase: wire.Ended}}, want: OK, sent: "GET /v1/requests/x/result"},
		"cancel":            {args: []string{"cancel", "x"}, status: 200, answer: []any{reply{Phase: wire.Ended}}, want: OK, sent: "DELETE /v1/requests/x"},
		"trace":             {args: []string{"trace", "0123456789abcdef", "node.log"}, want: OK, out: "cause: its team cancelled it"},
		"trace as JSON":     {args: []string{"trace", "0123456789abcdef", "node.log", "--output", "json"}, want: OK, out: `"cause":"its team cancelled it"`},
		"trace, none":       {args: []string{"trace", "ffffffffffffffff", "node.log"}, want: Missing, out: "in these logs"},
		"trace, no file":    {args: []string{"trace", "0123456789abcdef", "no.log"}, want: Usage, out: "no.log"},
		"settings file":     {args: []string{"show", "--config", "settings.toml"}, want: Usage, out: "settings.toml: line 1"},
		"bad key name":      {args: []string{"key", "shop.1"}, want: Usage, out: "one word"},
		"secret and digest": {args: []string{"key", "shop-1"}, want: OK, out: "[key.shop-1]"},
	}
	dir := t.TempDir()
	files := map[string]string{
		"node.log":  `{"time":"2026-08-12T06:28:10Z","host":"h","text":"job ended","id":"0123456789abcdef","phase":"cancelled"}` + "\n",
		"good.toml": "[team.a]\n", "settings.toml": "doors = 1\n",
		"all/bad.toml": "\n[limit.x]\nteam = \"a\"\ntasks = 1\n",
	}
	is.New(t).NoErr(os.Mkdir(filepath.Join(dir, "all"), 0o700))
	for name, text := range files {
		is.New(t).NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	t.Chdir(dir)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent bytes.Buffer
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = sent.WriteString(r.Method + " " + r.URL.RequestURI() + " ")
				_, _ = sent.ReadFrom(r.Body)
				w.WriteHeader(tt.status)
				for _, v := range tt.answer {
					_ = json.NewEncoder(w).Encode(v)
				}
			}))
			defer server.Close()
			env := map[string]string{"BALSAM_KEY": "ops.secret"}
			env["BALSAM_DOOR"] = strings.TrimPrefix(server.URL, "http://")
			env["BALSAM_ENTRY"] = env["BALSAM_DOOR"]
			var out bytes.Buffer
			code := Run(context.Background(), tt.args, Streams{In: strings.NewReader(""), Out: &out, Err: &out}, func(k string) string { return env[k] })
			t.Log(out.String(), sent.String())
			is.Equal(code, tt.want)
			is.True(strings.Contains(out.String(), tt.out))
			is.True(strings.Contains(sent.String(), tt.sent))
			is.True(!strings.Contains(out.String(), "ops.secret"))
		})
	}
}

func TestUnreachableAPI(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	env := map[string]string{"BALSAM_KEY": "ops.secret", "BALSAM_DOOR": "127.0.0.1:1"}
	code := Run(context.Background(), []string{"show"}, Streams{Out: &out, Err: &out}, func(k string) string { return env[k] })
	is.Equal(code, Unavailable)
}

package params

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/setup"
)

const validText = `host = "a1"
zone = "a"
zones = ["a", "b"]
door = "127.0.0.1:7000"
page = "127.0.0.1:7001"
link = "127.0.0.1:7002"
platform = "127.0.0.1:7003"
[certs]
cert = "cert.pem"
key = "key.pem"
authority = "authority.pem"
[oper]
address = "127.0.0.1:7004"
[[peers]]
name = "a2"
zone = "a"
link = "127.0.0.2:7002"
[[placers]]
name = "pa"
zone = "a"
link = "127.0.0.1:7005"
[limits]
keep = "1m"
`

// TestFilesAreChecked loads settings that name missing files. Each must be
// reported as a fault with its key and line.
func TestFilesAreChecked(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "entry.toml")
	text := strings.Replace(validText, "[oper]", "[tls]\ncert = \"a.pem\"\nkey = \"b.pem\"\n[oper]\ncert = \"c.pem\"\nkey = \"d.pem\"", 1)
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	var invalid *setup.InvalidError
	is.True(errors.As(setup.Load(path, Default()), &invalid))
	var keys []string
	for _, f := range invalid.Faults {
		keys = append(keys, f.Key)
		is.True(f.Line > 0)
	}
	is.Equal(keys, []string{"certs.cert", "certs.key", "certs.authority", "tls.cert", "tls.key", "oper.cert", "oper.key"})
}

func TestSettings(t *testing.T) {
	tests := map[string]struct {
		old, new string
		fault    string // key of the fault, empty if there is none
	}{
		"good":             {},
		"unknown key":      {old: "keep =", new: "kept =", fault: "limits.kept"},
		"host name":        {old: `host = "a1"`, new: `host = "A.1"`, fault: "host"},
		"foreign zone":     {old: `zone = "a"` + "\nzones", new: `zone = "c"` + "\nzones", fault: "zones"},
		"no number":        {old: `"127.0.0.1:7000"`, new: `"localhost:7000"`, fault: "door"},
		"same address":     {old: `page = "127.0.0.1:7001"`, new: `page = "127.0.0.1:7000"`, fault: "page"},
		"oper and door":    {old: "127.0.0.1:7004", new: "127.0.0.1:7000", fault: "oper.address"},
		"named twice":      {old: `name = "a2"`, new: `name = "a1"`, fault: "peers.name"},
		"own link":         {old: "127.0.0.2:7002", new: "127.0.0.1:7002", fault: "peers.link"},
		"peer's zone":      {old: `zone = "a"` + "\nlink = \"127.0.0.2", new: `zone = "z"` + "\nlink = \"127.0.0.2", fault: "peers.zone"},
		"no certificate":   {old: `cert = "cert.pem"`, new: "", fault: "certs.cert"},
		"door without key": {old: "[oper]", new: "[tls]\ncert = \"a.pem\"\n[oper]", fault: "tls.key"},
		"no handshakes":    {old: "[limits]", new: "[limits]\nshakes = 0", fault: "limits.shakes"},
		"no time":          {old: `"1m"`, new: `"0s"`, fault: "limits.keep"},
		"unknown level":    {old: `host = "a1"`, new: "host = \"a1\"\nlevel = \"loud\"", fault: "level"},
		"without placers":  {old: validText[strings.Index(validText, "[[placers]]"):strings.Index(validText, "[limits]")], new: "", fault: "placers"},
		"history short":    {old: `keep = "1m"`, new: `history = "9m"`, fault: "limits.history"},
		"history long":     {old: `keep = "1m"`, new: `history = "721h"`, fault: "limits.history"},
		"history":          {old: `keep = "1m"`, new: `history = "720h"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := setup.Parse("entry.toml", []byte(strings.Replace(validText, tt.old, tt.new, 1)), Default())
			if tt.fault == "" {
				is.NoErr(err)
				return
			}
			var invalid *setup.InvalidError
			is.True(errors.As(err, &invalid))
			is.Equal(len(invalid.Faults), 1)
			is.Equal(invalid.Faults[0].Key, tt.fault)
		})
	}
}

package certs_test

import (
	"crypto/tls"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/certs"
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/timer"
)

// issue writes a new authority and certificate to dir and returns the files.
func issue(t *testing.T, dir string) certs.Files {
	t.Helper()
	_, err := link.IssueFiles(dir)
	is.New(t).NoErr(err)
	file := func(name string) string { return filepath.Join(dir, name) }
	return certs.Files{Cert: file("cert.pem"), Key: file("key.pem"), Authority: file("authority.pem")}
}

func TestFaults(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	good, foreign := issue(t, dir), issue(t, other)
	text := filepath.Join(dir, "text.pem")
	is.New(t).NoErr(os.WriteFile(text, []byte("none"), 0o600))
	now := time.Now()
	tests := map[string]struct {
		files certs.Files
		now   time.Time
		keys  []string
		part  string // substring of the first fault's text
	}{
		"good":              {files: good, now: now},
		"without authority": {files: certs.Files{Cert: good.Cert, Key: good.Key}, now: now},
		"nothing there":     {files: certs.Files{Cert: "a", Key: "b", Authority: "c"}, now: now, keys: []string{"t.cert", "t.key", "t.authority"}, part: "a: "},
		"no certificate":    {files: certs.Files{Cert: text, Key: good.Key, Authority: good.Authority}, now: now, keys: []string{"t.cert"}, part: "no certificate found"},
		"another's key":     {files: certs.Files{Cert: good.Cert, Key: foreign.Key}, now: now, keys: []string{"t.key"}, part: "not the key of " + good.Cert},
		"empty authority":   {files: certs.Files{Cert: good.Cert, Key: good.Key, Authority: text}, now: now, keys: []string{"t.authority"}, part: "no certificate found"},
		"foreign authority": {files: certs.Files{Cert: good.Cert, Key: good.Key, Authority: foreign.Authority}, now: now, keys: []string{"t.cert"}, part: "unknown authority"},
		"expired":           {files: good, now: now.Add(365 * 24 * time.Hour), keys: []string{"t.cert"}, part: "valid only from"},
		"not yet valid":     {files: good, now: now.Add(-24 * time.Hour), keys: []string{"t.cert"}, part: "valid only from"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			faults := tt.files.Faults("t", tt.now)
			var keys []string
			for _, f := range faults {
				keys = append(keys, f.Key)
			}
			is.Equal(keys, tt.keys)
			if len(faults) > 0 {
				is.True(strings.Contains(faults[0].Text, tt.part))
			}
		})
	}
}

// TestReload replaces files by invalid and by valid ones and checks the current
// certificate, the metrics and the detail text.
func TestReload(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	files := issue(t, dir)
	clock, registry := timer.New(timer.WithManual(time.Now())), metrics.NewRegistry()
	l, err := certs.New("door", files, clock, certs.WithMetrics(registry))
	is.NoErr(err)
	first, err := l.Get(nil)
	is.NoErr(err)
	used := func() *tls.Certificate { c, _ := l.Get(nil); return c }
	count := func(name string) int64 { return metrics.GetOrRegisterCounter("certs.door."+name, registry).Count() }
	bad := func() int64 { return metrics.GetOrRegisterGauge("certs.door.bad", registry).Value() }

	is.NoErr(l.Reload())
	is.Equal(count("loaded"), int64(0)) // The files haven't changed.
	is.NoErr(os.WriteFile(files.Key, []byte("half"), 0o600))
	for range 2 {
		var invalid *certs.InvalidError
		is.True(errors.As(l.Reload(), &invalid))
		is.Equal(invalid.Faults[0].Setting, "key")
	}
	is.Equal(used(), first)
	is.Equal(count("failed"), int64(2))
	is.Equal(bad(), int64(1))
	is.True(strings.Contains(l.Detail(), files.Key))

	issue(t, dir)
	is.NoErr(l.Reload())
	is.True(used().Leaf.SerialNumber.Cmp(first.Leaf.SerialNumber) != 0)
	is.Equal(count("loaded"), int64(1))
	is.Equal(bad(), int64(0))
	is.Equal(l.Detail(), "")

	days, ok := registry.Get("certs.door.days").(metrics.Gauge)
	is.True(ok)
	is.Equal(days.Value(), int64(29))
	clock.Advance(20 * 24 * time.Hour)
	is.Equal(days.Value(), int64(9))
	is.True(strings.Contains(l.Detail(), "expires in 9 days"))
}

// TestMetricNames checks that docs/METRICS.md lists the metrics under their
// names, which dashboards use.
func TestMetricNames(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	is.NoErr(err)
	var names, want []string
	for _, name := range []string{"link", "door", "oper"} {
		registry := metrics.NewRegistry()
		_, err := certs.New(name, issue(t, t.TempDir()), timer.New(), certs.WithMetrics(registry))
		is.NoErr(err)
		registry.Each(func(n string, _ any) { names = append(names, n) })
		for _, last := range []string{"bad", "days", "failed", "loaded"} {
			want = append(want, "certs."+name+"."+last)
			is.True(strings.Contains(string(page), "certs."+name+"."+last))
		}
	}
	slices.Sort(names)
	slices.Sort(want)
	is.Equal(names, want)
}

package oper

import (
	"context"
	"crypto/tls"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
)

// TestCertificateIsReloaded replaces the certificate while the server runs. An
// invalid certificate must not replace the one in use.
func TestCertificateIsReloaded(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	_, err := link.IssueFiles(dir)
	is.NoErr(err)
	timers, platform := timer.New(), store.New()
	settings := Settings{Address: "127.0.0.1:0", Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	d := New(settings, platform, config.NewFollower("h1", "z1", platform, timers), timers)
	is.NoErr(d.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return d.Run(ctx) })
	defer func() {
		cancel()
		is.NoErr(g.Wait())
	}()
	first := serial(t, d.Address())
	_, err = link.IssueFiles(dir)
	is.NoErr(err)
	is.Equal(serial(t, d.Address()), first) // not before it is read again
	is.NoErr(d.certs.Load().Reload())
	second := serial(t, d.Address())
	is.True(second != first)
	is.NoErr(os.Remove(settings.Key))
	is.True(d.certs.Load().Reload() != nil)
	is.Equal(serial(t, d.Address()), second)
	is.True(strings.Contains(d.Detail(), "key: "+settings.Key))
}

// serial returns the serial number of the certificate that the server presents.
func serial(t *testing.T, address string) string {
	t.Helper()
	conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	is.New(t).NoErr(err)
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

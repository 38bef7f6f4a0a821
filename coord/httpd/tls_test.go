package httpd

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/certs"
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/timer"
)

// tlsRig is a Server that speaks HTTPS.
type tlsRig struct {
	*rig
	dir    string
	loader *certs.Loader
}

func newTLSRig(t testing.TB, limits Limits, h handlerFunc) *tlsRig {
	t.Helper()
	is := is.New(t)
	r := &tlsRig{dir: t.TempDir()}
	r.issue(t)
	var err error
	files := certs.Files{Cert: filepath.Join(r.dir, "cert.pem"), Key: filepath.Join(r.dir, "key.pem")}
	r.loader, err = certs.New("door", files, timer.New())
	is.NoErr(err)
	r.rig = newRig(t, limits, h, WithTLS(r.loader.Door(Protocol)))
	return r
}

// issue writes a new certificate.
func (r *tlsRig) issue(t testing.TB) {
	t.Helper()
	_, err := link.IssueFiles(r.dir)
	is.New(t).NoErr(err)
}

// secure returns a caller that uses raw and trusts the certificate on file.
func (r *tlsRig) secure(raw net.Conn, version uint16) *tls.Conn {
	pem, err := os.ReadFile(filepath.Join(r.dir, "authority.pem"))
	is.New(r.t).NoErr(err)
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	return tls.Client(raw, &tls.Config{
		MaxVersion: version, NextProtos: []string{"h2", Protocol}, InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool})
			return err
		},
	})
}

func (r *tlsRig) dialTLS() *tls.Conn { return r.secure(r.dial(), tls.VersionTLS13) }

// slices is a connection that writes a few bytes at a time.
type slices struct {
	net.Conn
	size int
}

func (c slices) Write(p []byte) (int, error) {
	for at := 0; at < len(p); at += c.size {
		if _, err := c.Conn.Write(p[at:min(at+c.size, len(p))]); err != nil {
			return at, err
		}
	}
	return len(p), nil
}

func TestTLSAnswers(t *testing.T) {
	tests := map[string]struct {
		version uint16
		size    int // bytes of a write
	}{
		"1.3":              {version: tls.VersionTLS13, size: 1 << 20},
		"1.2":              {version: tls.VersionTLS12, size: 1 << 20},
		"1.3 byte by byte": {version: tls.VersionTLS13, size: 1},
		"1.2 byte by byte": {version: tls.VersionTLS12, size: 1},
		"1.3 in pieces":    {version: tls.VersionTLS13, size: 700},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newTLSRig(t, DefaultLimits(), echo)
			c := r.secure(slices{r.dial(), tt.size}, tt.version)
			bodies := []string{"first", "", strings.Repeat("x", 40_000)}
			var text strings.Builder
			for i, b := range bodies {
				text.WriteString(post("/"+strconv.Itoa(i), b))
			}
			_, err := c.Write([]byte(text.String()))
			is.NoErr(err)
			in := bufio.NewReader(c)
			for i, b := range bodies {
				code, body := readAnswer(t, in)
				is.Equal(code, 200)
				is.True(body == "/"+strconv.Itoa(i)+" "+b)
			}
			is.Equal(c.ConnectionState().NegotiatedProtocol, Protocol)
			is.Equal(r.count("shakes"), int64(1))
		})
	}
}

// stream writes total bytes in pieces and counts them.
func stream(total, piece int, written *atomic.Int64) handlerFunc {
	return func(x *Exchange) {
		if x.Begin(200, "text/plain", -1, "Outcome") != nil {
			return
		}
		for n := 0; n < total; n += piece {
			if _, err := x.Write(bytes.Repeat([]byte{byte(n / piece)}, piece)); err != nil {
				return
			}
			written.Add(int64(piece))
		}
		x.Trailer("Outcome", "done")
		_ = x.Finish()
	}
}

// TestTLSSlowReader streams a large answer to a caller that doesn't read at
// first: the handler has to wait, and the answer is whole in the end.
func TestTLSSlowReader(t *testing.T) {
	is := is.New(t)
	const total, piece = 64 << 20, 32 << 10
	var written atomic.Int64
	r := newTLSRig(t, DefaultLimits(), stream(total, piece, &written))
	c := r.dialTLS()
	_, err := c.Write([]byte(post("/", "")))
	is.NoErr(err)
	time.Sleep(500 * time.Millisecond)
	is.True(written.Load() < total/2)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(body), total)
	for n := 0; n < total; n += piece {
		is.Equal(body[n], byte(n/piece))
	}
	is.Equal(resp.Trailer.Get("Outcome"), "done")
}

// TestUnfinishedHandshake shows that callers which don't come to the end of
// their handshake are cut off, and what is counted.
func TestUnfinishedHandshake(t *testing.T) {
	tests := map[string]struct {
		text    string
		late    int64
		aborted int64
	}{
		"nothing sent": {late: 1},
		"half a hello": {text: "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", late: 1, aborted: 1},
		"nonsense":     {text: "\x16\x03\x01\x00\x04nope", aborted: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			limits := DefaultLimits()
			limits.Shake = 300 * time.Millisecond
			r := newTLSRig(t, limits, echo)
			c := r.dial()
			_, err := c.Write([]byte(tt.text))
			is.NoErr(err)
			_, err = io.ReadAll(c)
			is.NoErr(err)
			is.Equal(r.count("late"), tt.late)
			is.Equal(r.count("aborted"), tt.aborted)
			is.Equal(r.count("shakes"), int64(0))
			is.Equal(r.server.buffered.Load(), int64(0))
			is.NoErr(r.server.shakes.Wait()) // No goroutine is left.
		})
	}
}

// TestHandshakeLimit begins more handshakes than the limit.
func TestHandshakeLimit(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Shakes, limits.Shake = 2, time.Second
	r := newTLSRig(t, limits, echo)
	for range 2 {
		_, err := r.dial().Write([]byte("\x16\x03\x01\x02\x00\x01"))
		is.NoErr(err)
	}
	time.Sleep(100 * time.Millisecond)
	is.True(r.dialTLS().Handshake() != nil)
	is.Equal(r.count("refused"), int64(1))
	for r.count("aborted") < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	is.NoErr(r.dialTLS().Handshake())
}

func TestTLSConnectionLimit(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Conns = 3
	r := newTLSRig(t, limits, echo)
	for range 3 {
		is.NoErr(r.dialTLS().Handshake())
	}
	is.True(r.dialTLS().Handshake() != nil)
	is.Equal(r.count("refused"), int64(1))
}

func TestPlainCallerIsRefused(t *testing.T) {
	is := is.New(t)
	served := false
	r := newTLSRig(t, DefaultLimits(), func(x *Exchange) { served = true; echo(x) })
	c := r.dial()
	_, err := c.Write([]byte(post("/", "")))
	is.NoErr(err)
	in := bufio.NewReader(c)
	code, body := readAnswer(t, in)
	is.Equal(code, 400)
	is.True(strings.Contains(body, `"notrun"`))
	_, err = in.ReadByte()
	is.Equal(err, io.EOF)
	is.True(!served)
	is.Equal(r.count("invalid"), int64(1))
}

// TestCertificateReplacedUnderLoad replaces the certificate while callers send
// requests, on connections that stand and on new ones. None is lost.
func TestCertificateReplacedUnderLoad(t *testing.T) {
	is := is.New(t)
	const callers, requests = 4, 150
	r := newTLSRig(t, DefaultLimits(), echo)
	first := r.dialTLS()
	is.NoErr(first.Handshake())
	old := first.ConnectionState().PeerCertificates[0].SerialNumber
	pool := &tls.Config{InsecureSkipVerify: true} // The authority changes midway.
	var answered, begun atomic.Int64
	var g errgroup.Group
	for range callers {
		g.Go(func() error {
			for range requests {
				begun.Add(1)
				c := tls.Client(r.dial(), pool)
				for range 2 {
					if _, err := c.Write([]byte(post("/a", "b"))); err != nil {
						return err
					}
					if code, body := readAnswer(t, bufio.NewReader(c)); code == 200 && body == "/a b" {
						answered.Add(1)
					}
				}
				if err := c.Close(); err != nil {
					return err
				}
			}
			return nil
		})
	}
	for begun.Load() < callers*requests/3 {
		time.Sleep(time.Millisecond)
	}
	r.issue(t)
	is.NoErr(r.loader.Reload())
	is.NoErr(g.Wait())
	is.Equal(answered.Load(), int64(2*callers*requests))
	second := r.dialTLS() // Trusts the new certificate only.
	is.NoErr(second.Handshake())
	is.True(second.ConnectionState().PeerCertificates[0].SerialNumber.Cmp(old) != 0)
	_, err := first.Write([]byte(post("/a", "b")))
	is.NoErr(err)
	_, body := readAnswer(t, bufio.NewReader(first))
	is.Equal(body, "/a b")
}

// TestLastAnswerIsWhole answers a little more than the network holds to a
// caller that reads late, on a connection that ends with the answer. How much
// the network holds isn't known, so many sizes are tried.
func TestLastAnswerIsWhole(t *testing.T) {
	const step, sizes = 48 << 10, 120
	handler := func(x *Exchange) {
		n, _ := strconv.Atoi(string(x.Request().URI().Path())[1:])
		x.Answer(200, "text/plain", bytes.Repeat([]byte("x"), n))
	}
	plain := newRig(t, DefaultLimits(), handler)
	secure := newTLSRig(t, DefaultLimits(), handler)
	tests := map[string]func() net.Conn{
		"plain": plain.dial,
		"TLS":   func() net.Conn { return secure.dialTLS() },
	}
	for name, dial := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conns := make([]net.Conn, 0, sizes)
			for i := range sizes {
				c := dial()
				_, err := c.Write([]byte("GET /" + strconv.Itoa((i+1)*step) + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"))
				is.NoErr(err)
				conns = append(conns, c)
			}
			time.Sleep(500 * time.Millisecond)
			for i, c := range conns {
				in := bufio.NewReader(c)
				resp, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				n, err := io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				is.NoErr(resp.Body.Close())
				is.Equal(n, int64((i+1)*step))
				_, err = in.ReadByte()
				is.Equal(err, io.EOF) // With TLS: the end was announced.
			}
		})
	}
}

// recorder is a connection that keeps what is written to it.
type recorder struct {
	net.Conn
	out []byte
}

func (c *recorder) Write(p []byte) (int, error) {
	c.out = append(c.out, p...)
	return len(p), nil
}

func (c *recorder) Read([]byte) (int, error) { return 0, io.EOF }

// TestInputDuringHandshakeIsBounded sends far more than a greeting while the
// server is busy with the handshake. It may hold no more than its buffer.
func TestInputDuringHandshakeIsBounded(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Buffer = 64 << 10
	hold := make(chan struct{})
	r := newRig(t, limits, echo, WithTLS(&tls.Config{
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			<-hold
			return nil, &GoneError{}
		},
	}))
	hello := &recorder{}
	_ = tls.Client(hello, &tls.Config{InsecureSkipVerify: true}).Handshake()
	c := r.dial()
	_, err := c.Write(hello.out)
	is.NoErr(err)
	for range 64 {
		if _, err = c.Write(make([]byte, 16<<10)); err != nil {
			break
		}
		is.True(r.server.buffered.Load() <= limits.Buffer)
		time.Sleep(time.Millisecond)
	}
	_, err = io.ReadAll(c)
	is.True(err == nil || errors.Is(err, syscall.ECONNRESET))
	for r.count("aborted") == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(r.count("refused"), int64(1))
	is.Equal(r.server.buffered.Load(), int64(0))
	close(hold)
	is.NoErr(r.server.shakes.Wait())
}

// TestBrokenRecord sends a record that can't be decrypted: the connection ends
// and the request before it isn't served twice or in part.
func TestBrokenRecord(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	r := newTLSRig(t, DefaultLimits(), func(x *Exchange) { served.Add(1); echo(x) })
	raw := r.dial()
	c := r.secure(raw, tls.VersionTLS13)
	_, err := c.Write([]byte(post("/a", "b") + "POST /half HTTP/1.1\r\n"))
	is.NoErr(err)
	_, body := readAnswer(t, bufio.NewReader(c))
	is.Equal(body, "/a b")
	_, err = raw.Write([]byte("\x17\x03\x03\x00\x20" + strings.Repeat("x", 32)))
	is.NoErr(err)
	_, err = io.ReadAll(raw)
	is.NoErr(err)
	is.Equal(served.Load(), int64(1))
	for r.server.conns.count() > 0 {
		time.Sleep(time.Millisecond)
	}
}

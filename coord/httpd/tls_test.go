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

// tlsTestServer is a testServer that serves HTTPS.
type tlsTestServer struct {
	*testServer
	dir    string
	loader *certs.Loader
}

func newTLSTestServer(t testing.TB, limits Limits, h handlerFunc) *tlsTestServer {
	t.Helper()
	is := is.New(t)
	ts := &tlsTestServer{dir: t.TempDir()}
	ts.issue(t)
	var err error
	files := certs.Files{Cert: filepath.Join(ts.dir, "cert.pem"), Key: filepath.Join(ts.dir, "key.pem")}
	ts.loader, err = certs.New("door", files, timer.New())
	is.NoErr(err)
	ts.testServer = newTestServer(t, limits, h, WithTLS(ts.loader.PublicServer(Protocol)))
	return ts
}

// issue writes a new certificate and authority to the server's directory.
func (ts *tlsTestServer) issue(t testing.TB) {
	t.Helper()
	_, err := link.IssueFiles(ts.dir)
	is.New(t).NoErr(err)
}

// tlsClient returns a TLS client connection on raw that trusts the authority in
// the server's directory.
func (ts *tlsTestServer) tlsClient(raw net.Conn, version uint16) *tls.Conn {
	pem, err := os.ReadFile(filepath.Join(ts.dir, "authority.pem"))
	is.New(ts.t).NoErr(err)
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

func (ts *tlsTestServer) dialTLS() *tls.Conn { return ts.tlsClient(ts.dial(), tls.VersionTLS13) }

// chunkedConn is a connection that splits each write into pieces of size bytes.
type chunkedConn struct {
	net.Conn
	size int
}

func (c chunkedConn) Write(p []byte) (int, error) {
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
			ts := newTLSTestServer(t, DefaultLimits(), echo)
			c := ts.tlsClient(chunkedConn{ts.dial(), tt.size}, tt.version)
			bodies := []string{"first", "", strings.Repeat("x", 40_000)}
			var text strings.Builder
			for i, b := range bodies {
				text.WriteString(post("/"+strconv.Itoa(i), b))
			}
			_, err := c.Write([]byte(text.String()))
			is.NoErr(err)
			in := bufio.NewReader(c)
			for i, b := range bodies {
				code, body := readResponse(t, in)
				is.Equal(code, 200)
				is.True(body == "/"+strconv.Itoa(i)+" "+b)
			}
			is.Equal(c.ConnectionState().NegotiatedProtocol, Protocol)
			is.Equal(ts.count("shakes"), int64(1))
		})
	}
}

// stream returns a handler that streams total bytes in pieces and counts them in
// written.
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

// TestTLSSlowReader streams a large response to a client that doesn't read at
// first. The handler must block, and the response must be complete in the end.
func TestTLSSlowReader(t *testing.T) {
	is := is.New(t)
	const total, piece = 64 << 20, 32 << 10
	var written atomic.Int64
	ts := newTLSTestServer(t, DefaultLimits(), stream(total, piece, &written))
	c := ts.dialTLS()
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

// TestUnfinishedHandshake checks that connections whose handshake doesn't
// complete are closed and counted.
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
			limits.Handshake = 300 * time.Millisecond
			ts := newTLSTestServer(t, limits, echo)
			c := ts.dial()
			_, err := c.Write([]byte(tt.text))
			is.NoErr(err)
			_, err = io.ReadAll(c)
			is.NoErr(err)
			is.Equal(ts.count("late"), tt.late)
			is.Equal(ts.count("aborted"), tt.aborted)
			is.Equal(ts.count("shakes"), int64(0))
			is.Equal(ts.server.bodyBytes.Load(), int64(0))
			is.NoErr(ts.server.handshakes.Wait()) // No handshake goroutine is left.
		})
	}
}

// TestHandshakeLimit starts more handshakes than the limit allows.
func TestHandshakeLimit(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Handshakes, limits.Handshake = 2, time.Second
	ts := newTLSTestServer(t, limits, echo)
	for range 2 {
		_, err := ts.dial().Write([]byte("\x16\x03\x01\x02\x00\x01"))
		is.NoErr(err)
	}
	time.Sleep(100 * time.Millisecond)
	is.True(ts.dialTLS().Handshake() != nil)
	is.Equal(ts.count("refused"), int64(1))
	for ts.count("aborted") < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	is.NoErr(ts.dialTLS().Handshake())
}

func TestTLSConnectionLimit(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Conns = 3
	ts := newTLSTestServer(t, limits, echo)
	for range 3 {
		is.NoErr(ts.dialTLS().Handshake())
	}
	is.True(ts.dialTLS().Handshake() != nil)
	is.Equal(ts.count("refused"), int64(1))
}

func TestPlainCallerIsRefused(t *testing.T) {
	is := is.New(t)
	served := false
	ts := newTLSTestServer(t, DefaultLimits(), func(x *Exchange) { served = true; echo(x) })
	c := ts.dial()
	_, err := c.Write([]byte(post("/", "")))
	is.NoErr(err)
	in := bufio.NewReader(c)
	code, body := readResponse(t, in)
	is.Equal(code, 400)
	is.True(strings.Contains(body, `"notrun"`))
	_, err = in.ReadByte()
	is.Equal(err, io.EOF)
	is.True(!served)
	is.Equal(ts.count("invalid"), int64(1))
}

// TestCertificateReplacedUnderLoad replaces the certificate while clients send
// requests on open and on new connections. No request may be lost.
func TestCertificateReplacedUnderLoad(t *testing.T) {
	is := is.New(t)
	const clients, requests = 4, 150
	ts := newTLSTestServer(t, DefaultLimits(), echo)
	first := ts.dialTLS()
	is.NoErr(first.Handshake())
	old := first.ConnectionState().PeerCertificates[0].SerialNumber
	pool := &tls.Config{InsecureSkipVerify: true} // The authority changes midway.
	var answered, sent atomic.Int64
	var g errgroup.Group
	for range clients {
		g.Go(func() error {
			for range requests {
				sent.Add(1)
				c := tls.Client(ts.dial(), pool)
				for range 2 {
					if _, err := c.Write([]byte(post("/a", "b"))); err != nil {
						return err
					}
					if code, body := readResponse(t, bufio.NewReader(c)); code == 200 && body == "/a b" {
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
	for sent.Load() < clients*requests/3 {
		time.Sleep(time.Millisecond)
	}
	ts.issue(t)
	is.NoErr(ts.loader.Reload())
	is.NoErr(g.Wait())
	is.Equal(answered.Load(), int64(2*clients*requests))
	second := ts.dialTLS() // Trusts the new certificate only.
	is.NoErr(second.Handshake())
	is.True(second.ConnectionState().PeerCertificates[0].SerialNumber.Cmp(old) != 0)
	_, err := first.Write([]byte(post("/a", "b")))
	is.NoErr(err)
	_, body := readResponse(t, bufio.NewReader(first))
	is.Equal(body, "/a b")
}

// TestLastAnswerIsWhole sends a response slightly larger than the socket buffers
// to a client that reads late, on a connection that is closed after the
// response. gnet discards buffered output when it closes a connection, so an
// early close would truncate the response. The size of the socket buffers is
// unknown, so the test tries many sizes.
func TestLastAnswerIsWhole(t *testing.T) {
	const step, sizes = 48 << 10, 120
	handler := func(x *Exchange) {
		n, _ := strconv.Atoi(string(x.Request().URI().Path())[1:])
		x.Answer(200, "text/plain", bytes.Repeat([]byte("x"), n))
	}
	plain := newTestServer(t, DefaultLimits(), handler)
	secure := newTLSTestServer(t, DefaultLimits(), handler)
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
				is.Equal(err, io.EOF) // With TLS this needs a close_notify.
			}
		})
	}
}

// recordingConn is a connection that records what is written to it.
type recordingConn struct {
	net.Conn
	out []byte
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.out = append(c.out, p...)
	return len(p), nil
}

func (c *recordingConn) Read([]byte) (int, error) { return 0, io.EOF }

// TestInputDuringHandshakeIsBounded sends far more than a ClientHello while the
// server's handshake is blocked. The server may buffer no more than
// Limits.Buffer.
func TestInputDuringHandshakeIsBounded(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Buffer = 64 << 10
	unblock := make(chan struct{})
	ts := newTestServer(t, limits, echo, WithTLS(&tls.Config{
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			<-unblock
			return nil, &GoneError{}
		},
	}))
	hello := &recordingConn{}
	_ = tls.Client(hello, &tls.Config{InsecureSkipVerify: true}).Handshake()
	c := ts.dial()
	_, err := c.Write(hello.out)
	is.NoErr(err)
	for range 64 {
		if _, err = c.Write(make([]byte, 16<<10)); err != nil {
			break
		}
		is.True(ts.server.bodyBytes.Load() <= limits.Buffer)
		time.Sleep(time.Millisecond)
	}
	_, err = io.ReadAll(c)
	is.True(err == nil || errors.Is(err, syscall.ECONNRESET))
	for ts.count("aborted") == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(ts.count("refused"), int64(1))
	is.Equal(ts.server.bodyBytes.Load(), int64(0))
	close(unblock)
	is.NoErr(ts.server.handshakes.Wait())
}

// TestBrokenRecord sends a record that can't be decrypted. The connection must be
// closed, the complete request before it served once, and the incomplete request
// not served.
func TestBrokenRecord(t *testing.T) {
	is := is.New(t)
	var served atomic.Int64
	ts := newTLSTestServer(t, DefaultLimits(), func(x *Exchange) { served.Add(1); echo(x) })
	raw := ts.dial()
	c := ts.tlsClient(raw, tls.VersionTLS13)
	_, err := c.Write([]byte(post("/a", "b") + "POST /half HTTP/1.1\r\n"))
	is.NoErr(err)
	_, body := readResponse(t, bufio.NewReader(c))
	is.Equal(body, "/a b")
	_, err = raw.Write([]byte("\x17\x03\x03\x00\x20" + strings.Repeat("x", 32)))
	is.NoErr(err)
	_, err = io.ReadAll(raw)
	is.NoErr(err)
	is.Equal(served.Load(), int64(1))
	for ts.server.conns.count() > 0 {
		time.Sleep(time.Millisecond)
	}
}

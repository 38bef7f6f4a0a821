package httpd

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
)

// Protocol is the ALPN name of what the door speaks.
const Protocol = "http/1.1"

const (
	// recordHandshake is the first byte of a TLS handshake.
	recordHandshake = 0x16
	// shakeInput is how many bytes of a connection in its handshake are kept
	// without being counted as bodies: a caller's first flights.
	shakeInput = 16 << 10
	// plainSize is the size of a TLS record's content in bytes, at most.
	plainSize = 16 << 10
)

// secure is the TLS of one connection. The handshake runs on a goroutine of
// its own; afterwards input is decrypted on the event loop and output by who
// writes it.
type secure struct {
	conn *tls.Conn
	pipe *pipe

	writing sync.Mutex // held while an answer is encrypted and flushed

	// The fields below are used on the event loop only.
	begun    bool  // the handshake
	ready    bool  // the handshake has ended well
	reserved int64 // bytes of the server's body buffer
}

func newSecure(raw gnet.Conn, config *tls.Config) *secure {
	p := newPipe(raw)
	return &secure{conn: tls.Server(p, config), pipe: p}
}

// receive takes encrypted bytes from the network; it runs on the event loop.
func (cn *conn) receive(data []byte) gnet.Action {
	sec := cn.secure
	if cn.closing || len(data) == 0 {
		return gnet.None
	}
	if sec.ready {
		sec.pipe.lend(data)
		return cn.decrypt()
	}
	if !sec.begun {
		if data[0] != recordHandshake {
			cn.secure = nil // The refusal isn't encrypted.
			cn.refuse(fasthttp.StatusBadRequest, "invalid", "this address serves HTTPS")
			return gnet.None
		}
		if !cn.shake() {
			return gnet.Close
		}
	}
	if !cn.hold(sec.pipe.feed(data)) {
		cn.server.counts.refused.Inc(1)
		return gnet.Close
	}
	return gnet.None
}

// hold counts what waits for the end of the handshake, and reports whether
// there is room for it.
func (cn *conn) hold(waiting int) bool {
	sec := cn.secure
	more := int64(waiting) - shakeInput - sec.reserved
	if more <= 0 {
		return true
	}
	if waiting > cn.pipeline()+shakeInput || cn.server.buffered.Add(more) > cn.server.limits.Buffer {
		cn.server.buffered.Add(-more)
		return false
	}
	sec.reserved += more
	return true
}

// shake begins the handshake if there is room for one more.
func (cn *conn) shake() bool {
	s, sec := cn.server, cn.secure
	sec.begun = true
	ok := s.shakes.TryGo(func() error {
		err := sec.conn.HandshakeContext(context.Background())
		_ = cn.raw.EventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			return cn.shaken(err)
		}))
		return nil
	})
	if !ok {
		s.counts.refused.Inc(1)
	}
	return ok
}

// shaken goes on after the handshake; it runs on the event loop.
func (cn *conn) shaken(err error) error {
	if cn.raw.Context() == nil || cn.secure == nil {
		return nil
	}
	if err != nil {
		return cn.raw.Close()
	}
	s, sec := cn.server, cn.secure
	s.counts.shakes.Inc(1)
	sec.ready = true
	sec.pipe.proceed()
	sec.giveBack(s)
	cn.limit(s.limits.Idle)
	if cn.decrypt() == gnet.Close {
		return cn.raw.Close()
	}
	return nil
}

// release ends the connection's TLS.
func (sec *secure) release(s *Server) {
	if sec.begun && !sec.ready {
		s.counts.aborted.Inc(1)
	}
	sec.giveBack(s)
	_ = sec.pipe.Close()
}

// giveBack returns what was counted as bodies.
func (sec *secure) giveBack(s *Server) {
	s.buffered.Add(-sec.reserved)
	sec.reserved = 0
}

// decrypt feeds the connection with all that can be decrypted.
func (cn *conn) decrypt() gnet.Action {
	sec := cn.secure
	buf, ok := cn.server.plain.Get().(*[plainSize]byte)
	if !ok {
		buf = new([plainSize]byte)
	}
	defer cn.server.plain.Put(buf)
	for {
		n, err := sec.conn.Read(buf[:])
		cn.feed(buf[:n])
		var again *againError
		if errors.As(err, &again) {
			return cn.reply()
		}
		if err != nil {
			return gnet.Close
		}
	}
}

// reply sends what crypto/tls answers by itself to the caller's input: new keys.
// A caller that asks for them without reading the answers is closed.
func (cn *conn) reply() gnet.Action {
	sec := cn.secure
	if !sec.writing.TryLock() {
		return gnet.None // The writer flushes.
	}
	defer sec.writing.Unlock()
	if !sec.pipe.pending() {
		return gnet.None
	}
	if cn.raw.OutboundBuffered() > cn.server.limits.Window {
		cn.server.counts.stalled.Inc(1)
		return gnet.Close
	}
	_ = sec.pipe.flush(nil)
	return gnet.None
}

// write sends p, encrypted if the connection is, and calls done on the event
// loop once it was handed to the network. It may be called concurrently.
func (cn *conn) write(p []byte, done gnet.AsyncCallback) error {
	sec := cn.secure
	if sec == nil {
		return cn.raw.AsyncWrite(p, done)
	}
	sec.writing.Lock()
	defer sec.writing.Unlock()
	if len(p) > 0 {
		if _, err := sec.conn.Write(p); err != nil {
			_ = cn.raw.Close()
			return err
		}
	}
	return sec.pipe.flush(done)
}

// closeNotify tells the caller that nothing more comes.
func (cn *conn) closeNotify() {
	if cn.secure == nil || !cn.secure.ready {
		return
	}
	cn.secure.writing.Lock()
	defer cn.secure.writing.Unlock()
	if cn.secure.conn.CloseWrite() == nil {
		_ = cn.secure.pipe.flush(nil)
	}
}

package httpd

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
)

// Protocol is the ALPN name of the protocol that the server speaks.
const Protocol = "http/1.1"

const (
	// recordTypeHandshake is the first byte of a TLS handshake record.
	recordTypeHandshake = 0x16
	// handshakeAllowance is how many bytes of input a connection may buffer
	// during its handshake without counting them in Server.bodyBytes. It has
	// space for the client's handshake messages.
	handshakeAllowance = 16 << 10
	// maxPlaintext is the maximum size of a TLS record's content in bytes.
	maxPlaintext = 16 << 10
)

// tlsState is the TLS state of one connection. The handshake runs on its own
// goroutine. Afterwards input is decrypted on the event loop, and output is
// encrypted on the goroutine that writes it.
type tlsState struct {
	conn *tls.Conn
	pipe *pipe

	writeMu sync.Mutex // held while output is encrypted and flushed

	// The fields below are used on the event loop only.
	started     bool  // the handshake has started
	established bool  // the handshake has succeeded
	reserved    int64 // bytes counted in Server.bodyBytes
}

func newTLSState(raw gnet.Conn, config *tls.Config) *tlsState {
	p := newPipe(raw)
	return &tlsState{conn: tls.Server(p, config), pipe: p}
}

// handleTLSInput processes encrypted bytes from the network; it runs on the
// event loop.
func (cn *conn) handleTLSInput(data []byte) gnet.Action {
	state := cn.tls
	if cn.closing || len(data) == 0 {
		return gnet.None
	}
	if state.established {
		state.pipe.borrowInput(data)
		return cn.decrypt()
	}
	if !state.started {
		if data[0] != recordTypeHandshake {
			cn.tls = nil // The refusal isn't encrypted.
			cn.refuse(fasthttp.StatusBadRequest, "invalid", "this address serves HTTPS")
			return gnet.None
		}
		if !cn.startHandshake() {
			return gnet.Close
		}
	}
	if !cn.reserveHandshakeInput(state.pipe.appendInput(data)) {
		cn.server.counts.refused.Inc(1)
		return gnet.Close
	}
	return gnet.None
}

// reserveHandshakeInput adds input that is buffered during the handshake to
// Server.bodyBytes, as far as it exceeds handshakeAllowance. It reports whether
// it fits within the limits.
func (cn *conn) reserveHandshakeInput(buffered int) bool {
	state := cn.tls
	extra := int64(buffered) - handshakeAllowance - state.reserved
	if extra <= 0 {
		return true
	}
	if buffered > cn.maxPipelined()+handshakeAllowance || cn.server.bodyBytes.Add(extra) > cn.server.limits.Buffer {
		cn.server.bodyBytes.Add(-extra)
		return false
	}
	state.reserved += extra
	return true
}

// startHandshake starts the handshake, and reports false if too many are in
// progress.
func (cn *conn) startHandshake() bool {
	s, state := cn.server, cn.tls
	state.started = true
	ok := s.handshakes.TryGo(func() error {
		err := state.conn.HandshakeContext(context.Background())
		_ = cn.gnetConn.EventLoop().Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			return cn.finishHandshake(err)
		}))
		return nil
	})
	if !ok {
		s.counts.refused.Inc(1)
	}
	return ok
}

// finishHandshake processes input that arrived during the handshake, or closes
// the connection if err is set. It runs on the event loop.
func (cn *conn) finishHandshake(err error) error {
	if cn.gnetConn.Context() == nil || cn.tls == nil {
		return nil
	}
	if err != nil {
		return cn.gnetConn.Close()
	}
	s, state := cn.server, cn.tls
	s.counts.handshakes.Inc(1)
	state.established = true
	state.pipe.stopBlocking()
	state.releaseReserved(s)
	cn.setDeadline(s.limits.Idle)
	if cn.decrypt() == gnet.Close {
		return cn.gnetConn.Close()
	}
	return nil
}

// release closes the pipe of a closed connection and counts a handshake that
// was unfinished.
func (state *tlsState) release(s *Server) {
	if state.started && !state.established {
		s.counts.handshakesFailed.Inc(1)
	}
	state.releaseReserved(s)
	_ = state.pipe.Close()
}

// releaseReserved subtracts the reserved bytes from Server.bodyBytes.
func (state *tlsState) releaseReserved(s *Server) {
	s.bodyBytes.Add(-state.reserved)
	state.reserved = 0
}

// decrypt passes all input that can be decrypted to handleInput.
func (cn *conn) decrypt() gnet.Action {
	state := cn.tls
	buf, ok := cn.server.plaintextBufs.Get().(*[maxPlaintext]byte)
	if !ok {
		buf = new([maxPlaintext]byte)
	}
	defer cn.server.plaintextBufs.Put(buf)
	for {
		n, err := state.conn.Read(buf[:])
		cn.handleInput(buf[:n])
		var wouldBlock *wouldBlockError
		if errors.As(err, &wouldBlock) {
			return cn.flushPending()
		}
		if err != nil {
			return gnet.Close
		}
	}
}

// flushPending sends the messages that crypto/tls itself writes in response to
// input, such as key updates. If a client requests key updates without reading
// the responses, its connection is closed.
func (cn *conn) flushPending() gnet.Action {
	state := cn.tls
	if !state.writeMu.TryLock() {
		return gnet.None // The goroutine that holds the lock flushes.
	}
	defer state.writeMu.Unlock()
	if !state.pipe.pending() {
		return gnet.None
	}
	if cn.gnetConn.OutboundBuffered() > cn.server.limits.Window {
		cn.server.counts.stalled.Inc(1)
		return gnet.Close
	}
	_ = state.pipe.flush(nil)
	return gnet.None
}

// write sends p, encrypted on a TLS connection, and calls done on the event loop
// after writing p to the connection. It may be called concurrently.
func (cn *conn) write(p []byte, done gnet.AsyncCallback) error {
	state := cn.tls
	if state == nil {
		return cn.gnetConn.AsyncWrite(p, done)
	}
	state.writeMu.Lock()
	defer state.writeMu.Unlock()
	if len(p) > 0 {
		if _, err := state.conn.Write(p); err != nil {
			_ = cn.gnetConn.Close()
			return err
		}
	}
	return state.pipe.flush(done)
}

// closeNotify sends a TLS close_notify alert if the handshake has succeeded.
func (cn *conn) closeNotify() {
	if cn.tls == nil || !cn.tls.established {
		return
	}
	cn.tls.writeMu.Lock()
	defer cn.tls.writeMu.Unlock()
	if cn.tls.conn.CloseWrite() == nil {
		_ = cn.tls.pipe.flush(nil)
	}
}

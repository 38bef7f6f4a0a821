package link

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

const (
	// itemLimit bounds one item in bytes.
	itemLimit = 4 << 20
	// headerSize is the length field before each item, in bytes.
	headerSize = 4
	// cancelCode is the QUIC code of an abandoned stream.
	cancelCode = 1
)

// hello opens each stream.
type hello struct {
	Verb string `cbor:"verb"`
	From string `cbor:"from"`
}

// envelope wraps each later item, so that a failure can stand in its place.
type envelope struct {
	Body  cbor.RawMessage `cbor:"body,omitempty"`
	Code  string          `cbor:"code,omitempty"`
	Fault string          `cbor:"fault,omitempty"`
}

// Stream is one call in either direction. One goroutine may send while
// another receives.
type Stream struct {
	quic *quic.Stream
	from string
	verb string
}

// From returns the name that the caller gave itself.
func (s *Stream) From() string { return s.from }

// Verb returns the name of the call.
func (s *Stream) Verb() string { return s.verb }

// Context ends when the stream's sending side is closed or abandoned, or its
// connection is lost.
func (s *Stream) Context() context.Context { return s.quic.Context() }

// Send sends one message. The error is a *StreamError or a *SizeError.
func (s *Stream) Send(v any) error {
	body, err := encode(v)
	if err != nil {
		return &StreamError{Op: "encode", Err: err}
	}
	return s.write(envelope{Body: body})
}

// Fail sends a failure in place of a message.
func (s *Stream) Fail(code, text string) error {
	return s.write(envelope{Code: code, Fault: text})
}

// Recv receives one message into v. It returns io.EOF after the other side's
// CloseSend, a *RemoteError if the other side failed, and a *StreamError if
// the stream broke.
func (s *Stream) Recv(v any) error {
	var e envelope
	if err := s.read(&e); err != nil {
		return err
	}
	if e.Code != "" {
		return &RemoteError{Code: e.Code, Text: e.Fault}
	}
	if err := cbor.Unmarshal(e.Body, v); err != nil {
		return &StreamError{Op: "decode", Err: err}
	}
	return nil
}

// SetDeadline bounds all sends and receives. The zero time is no bound.
func (s *Stream) SetDeadline(t time.Time) error { return s.quic.SetDeadline(t) }

// CloseSend tells the other side that no more will be sent.
func (s *Stream) CloseSend() error { return s.quic.Close() }

// Cancel abandons the stream in both directions. It is safe after CloseSend.
func (s *Stream) Cancel() {
	s.quic.CancelRead(cancelCode)
	s.quic.CancelWrite(cancelCode)
}

func (s *Stream) write(v any) error {
	data, err := encode(v)
	if err != nil {
		return &StreamError{Op: "encode", Err: err}
	}
	if len(data) > itemLimit {
		return &SizeError{Size: len(data), Limit: itemLimit}
	}
	buf := make([]byte, headerSize, headerSize+len(data))
	binary.BigEndian.PutUint32(buf, uint32(len(data)))
	if _, err := s.quic.Write(append(buf, data...)); err != nil {
		return &StreamError{Op: "send", Err: err}
	}
	return nil
}

func (s *Stream) read(v any) error {
	var header [headerSize]byte
	if _, err := io.ReadFull(s.quic, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return &StreamError{Op: "receive", Err: err}
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > itemLimit {
		return &SizeError{Size: size, Limit: itemLimit}
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(s.quic, data); err != nil {
		return &StreamError{Op: "receive", Err: err}
	}
	if err := cbor.Unmarshal(data, v); err != nil {
		return &StreamError{Op: "decode", Err: err}
	}
	return nil
}

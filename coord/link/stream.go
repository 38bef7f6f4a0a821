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
	// itemLimit is the maximum size of one item in bytes.
	itemLimit = 4 << 20
	// headerSize is the size of the length field before each item, in bytes.
	headerSize = 4
	// cancelCode is the QUIC error code of a cancelled stream.
	cancelCode = 1
)

// hello is the first item of each stream.
type hello struct {
	Verb string `cbor:"verb"`
	From string `cbor:"from"`
}

// envelope is each later item: a message, or an error in its place.
type envelope struct {
	Body  cbor.RawMessage `cbor:"body,omitempty"`
	Code  string          `cbor:"code,omitempty"`
	Fault string          `cbor:"fault,omitempty"`
}

// Stream is one incoming or outgoing call. One goroutine may send while another
// receives. An item may have at most 4 MiB.
type Stream struct {
	quic *quic.Stream
	from string
	verb string
}

// From returns the name of the calling Node, as the caller states it.
func (s *Stream) From() string { return s.from }

// Verb returns the verb of the call.
func (s *Stream) Verb() string { return s.verb }

// Context returns a context that ends when the stream's sending side is closed
// or cancelled, or its connection is lost.
func (s *Stream) Context() context.Context { return s.quic.Context() }

// Send sends one message. The error is a *StreamError or a *SizeError.
func (s *Stream) Send(v any) error {
	body, err := encode(v)
	if err != nil {
		return &StreamError{Op: "encode", Err: err}
	}
	return s.write(envelope{Body: body})
}

// Fail sends an error in place of a message; the receiver's Recv returns it as a
// *RemoteError. The error of Fail is that of Send.
func (s *Stream) Fail(code, text string) error {
	return s.write(envelope{Code: code, Fault: text})
}

// Recv receives one message into v. It returns io.EOF after the peer's
// CloseSend, a *RemoteError if the peer sent an error, a *SizeError for an item
// that is too large, and a *StreamError if the stream broke or the message can't
// be decoded.
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

// SetDeadline sets the deadline of all sends and receives. The zero time means
// no deadline.
func (s *Stream) SetDeadline(t time.Time) error { return s.quic.SetDeadline(t) }

// CloseSend closes the sending side; the peer's Recv returns io.EOF after the
// messages sent so far.
func (s *Stream) CloseSend() error { return s.quic.Close() }

// Cancel aborts the stream in both directions. It may be called after CloseSend
// and more than once.
func (s *Stream) Cancel() {
	s.quic.CancelRead(cancelCode)
	s.quic.CancelWrite(cancelCode)
}

// write sends one item.
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

// read receives one item into v. It returns io.EOF at the end of the stream.
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

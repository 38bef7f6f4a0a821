package serve

import (
	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/httpd"
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/record"
)

// maxChunkBytes is the largest part of an answer that one message between entry
// processes carries.
const maxChunkBytes = 64 << 10

// callerSink streams a large answer to the caller's connection.
type callerSink struct {
	exchange *httpd.Exchange
	id       string
	started  bool
}

// Phase implements relay.Sink.
func (*callerSink) Phase(wire.Phase) {}

// Chunk implements relay.Sink.
func (s *callerSink) Chunk(p []byte) error {
	if !s.started {
		s.started = true
		s.exchange.Header().Set(headerID, record.CallerID(s.id))
		if err := s.exchange.Begin(fasthttp.StatusOK, bytesType, -1, headerOutcome, headerSum); err != nil {
			return err
		}
	}
	_, err := s.exchange.Write(p)
	return err
}

// streamSink forwards events to another entry process.
type streamSink struct {
	stream *link.Stream
	id     string
}

// Phase implements relay.Sink.
func (s *streamSink) Phase(p wire.Phase) { _ = s.stream.Send(wire.Event{ID: s.id, Phase: p}) }

// Chunk implements relay.Sink.
func (s *streamSink) Chunk(p []byte) error {
	for len(p) > 0 {
		n := min(len(p), maxChunkBytes)
		if err := s.stream.Send(wire.Event{ID: s.id, Chunk: p[:n]}); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// phaseSink records the phase of an active request and forwards all events to
// the next sink.
type phaseSink struct {
	active *active
	next   sink
}

// Phase implements relay.Sink.
func (s *phaseSink) Phase(p wire.Phase) {
	s.active.setPhase(p)
	s.next.Phase(p)
}

// Chunk implements relay.Sink.
func (s *phaseSink) Chunk(p []byte) error { return s.next.Chunk(p) }

// nullSink discards the answer of a request that no caller waits for.
type nullSink struct{}

// Phase implements relay.Sink.
func (nullSink) Phase(wire.Phase) {}

// Chunk implements relay.Sink.
func (nullSink) Chunk([]byte) error { return nil }

package link

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Times in messages keep their fractions of a second.
func TestTimesKeepTheirFractions(t *testing.T) {
	is := is.New(t)
	certs := newCerts(t)
	server := startNode(t, "server", certs, map[string]HandlerFunc{"now": func(_ context.Context, s *Stream) error {
		var at time.Time
		if err := s.Recv(&at); err != nil {
			return err
		}
		return s.Send(at)
	}})
	client := startNode(t, "client", certs, nil)
	sent := time.Date(2026, 12, 4, 12, 0, 0, 407_643_000, time.UTC)
	var got time.Time
	is.NoErr(client.Call(context.Background(), server.Address(), "now", sent, &got))
	is.True(got.Sub(sent).Abs() < time.Millisecond)
}

func BenchmarkEncode(b *testing.B) {
	for b.Loop() {
		if _, err := encode(hello{Verb: "x", From: "y"}); err != nil {
			b.Fatal(err)
		}
	}
}

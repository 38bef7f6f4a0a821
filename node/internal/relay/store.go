package relay

import (
	"time"

	"github.com/balsamford/balsamford/platform"
)

// Store is the platform's store.
type Store interface {
	Write(w *platform.Write) (int64, error)
	Read(table, part, from, to string) ([]platform.Row, int64, error)
	Watch(table string, after int64, wait time.Duration) ([]platform.Row, int64, error)
}

// ask makes the call that a question stands for.
func ask(s Store, q *question) ([]platform.Row, int64, error) {
	switch {
	case q.Write != nil:
		version, err := s.Write(q.Write)
		return nil, version, err
	case q.Read != nil:
		return s.Read(q.Read.Table, q.Read.Part, q.Read.From, q.Read.To)
	case q.Watch != nil:
		return s.Watch(q.Watch.Table, q.Watch.After, q.Watch.Wait)
	}
	return nil, 0, &platform.RefusedError{Call: "empty question"}
}

package relay

import (
	"time"

	"github.com/balsamford/balsamford/platform"
)

// Store is the part of platform.Store that is called, with the same errors.
type Store interface {
	Write(w *platform.Write) (int64, error)
	Read(table, part, from, to string) ([]platform.Row, int64, error)
	Watch(table string, after int64, wait time.Duration) ([]platform.Row, int64, error)
}

// execute makes the call that req describes.
func execute(s Store, req *request) ([]platform.Row, int64, error) {
	switch {
	case req.Write != nil:
		version, err := s.Write(req.Write)
		return nil, version, err
	case req.Read != nil:
		return s.Read(req.Read.Table, req.Read.Part, req.Read.From, req.Read.To)
	case req.Watch != nil:
		return s.Watch(req.Watch.Table, req.Watch.After, req.Watch.Wait)
	}
	return nil, 0, &platform.RefusedError{Call: "empty request"}
}

package config

import (
	"context"

	"github.com/balsamford/balsamford/coord/store"
)

// Reader reads the platform; a *store.Client and a *store.Memory are one.
type Reader interface {
	Get(ctx context.Context, table, key string) (store.Row, error)
	Object(ctx context.Context, name string) ([]byte, error)
}

// Home is what a Follower needs of the platform; a *store.Client and a
// *store.Memory are one.
type Home interface {
	Joiner
	Scan(ctx context.Context, table, prefix string) ([]store.Row, error)
}

// Joiner reads the platform and writes its table; a *store.Client and a
// *store.Memory are one.
type Joiner interface {
	Reader
	Commit(ctx context.Context, ops []store.Op) error
}

// Platform is what a Publisher needs of the platform; a *store.Client and a
// *store.Memory are one.
type Platform interface {
	Joiner
	PutObject(ctx context.Context, name string, data []byte) error
}

package config

import (
	"context"

	"github.com/balsamford/balsamford/coord/store"
)

// Reader reads rows and objects; *store.Client and *store.Memory implement it.
// Get returns a *store.MissingError if the row doesn't exist.
type Reader interface {
	Get(ctx context.Context, table, key string) (store.Row, error)
	Object(ctx context.Context, name string) ([]byte, error)
}

// FollowerPlatform is the part of the platform that a Follower and a Waiter use;
// *store.Client and *store.Memory implement it.
type FollowerPlatform interface {
	Committer
	Scan(ctx context.Context, table, prefix string) ([]store.Row, error)
}

// Committer reads the platform and commits rows; *store.Client and *store.Memory
// implement it. Commit applies all ops in one transaction. It returns a
// *store.ConflictError if a row's version isn't the expected one, and a
// *store.UnavailableError if the platform didn't reply.
type Committer interface {
	Reader
	Commit(ctx context.Context, ops []store.Op) error
}

// Platform reads the platform, commits rows and writes objects; *store.Client
// and *store.Memory implement it.
type Platform interface {
	Committer
	PutObject(ctx context.Context, name string, data []byte) error
}

package hold

import (
	"context"

	"github.com/balsamford/balsamford/coord/point"
)

// Client calls endpoints; *point.Client implements it. Errors are those of
// package point.
type Client interface {
	Open(ctx context.Context, address string, in point.Open) (point.View, error)
	Renew(ctx context.Context, address string, in point.Renew) (point.Report, error)
	Release(ctx context.Context, address string, in point.Owner) error
	View(ctx context.Context, address string) (point.View, error)
}

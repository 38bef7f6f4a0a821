package rules

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
)

const (
	// secretEnd follows a sample key's name in its secret.
	secretEnd = ".sample"
	author    = "trial"
)

// Book publishes objects to a platform. Its methods must not be called
// concurrently.
type Publisher struct {
	set       *config.Set
	client    *store.Client
	publisher *config.Publisher
	stop      context.CancelFunc
	group     errgroup.Group
}

// Open reads the objects of a file and returns a Book on the platform at
// address, an IP number with a port.
func Open(path, address string) (*Publisher, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	set, faults := config.Parse(config.File{Name: path, Data: data})
	if len(faults) == 0 {
		faults = set.Check()
	}
	for _, f := range faults {
		if !f.Warning {
			return nil, &FileError{Path: path, Err: &config.InvalidError{Faults: faults}}
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	timers := timer.New()
	b := &Publisher{set: set, client: store.NewClient(address), stop: stop}
	b.group.Go(func() error { return timers.Run(ctx) })
	b.publisher = config.NewPublisher(b.client, timers, zap.NewNop())
	return b, nil
}

// Close frees what the Book holds.
func (b *Publisher) Close() {
	b.stop()
	b.client.Close()
	_ = b.group.Wait()
}

// Set returns the objects of the file.
func (b *Publisher) Set() *config.Set { return b.set }

// Publish publishes all objects of the file and returns the version.
func (b *Publisher) Publish(ctx context.Context) (uint64, error) {
	return b.publish(ctx, &config.Edit{Action: audit.Publish, Base: config.AnyVersion, Whole: b.set})
}

// Put adds or replaces an object.
func (b *Publisher) Put(ctx context.Context, o config.Object) (uint64, error) {
	return b.publish(ctx, &config.Edit{Action: audit.Set, Base: config.AnyVersion, Put: []config.Object{o}})
}

func (b *Publisher) publish(ctx context.Context, e *config.Edit) (uint64, error) {
	e.ID, e.Author, e.Host = audit.NewID(time.Now()), author, author
	res, err := b.publisher.Publish(ctx, e)
	if err != nil {
		return 0, err
	}
	return res.Head.Version, nil
}

// Secret returns the secret of a sample key.
func Secret(key string) string { return key + secretEnd }

// FileError reports a file of objects that can't be used.
type FileError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

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
	// secretSuffix is appended to the name of a sample key to form its secret.
	secretSuffix = ".sample"
	// author and host name of the trial's entries in the audit log.
	author = "trial"
)

// Publisher publishes configuration objects to a platform. Its methods must not
// be called concurrently.
type Publisher struct {
	set       *config.Set
	client    *store.Client
	publisher *config.Publisher
	stop      context.CancelFunc
	group     errgroup.Group
}

// Open reads the configuration objects of a file and returns a Publisher for
// the platform at address, an IP address with a port. It returns a *FileError if
// the file can't be read or has invalid objects. The Publisher must be closed.
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

// Close closes the connections to the platform and stops the timers.
func (b *Publisher) Close() {
	b.stop()
	b.client.Close()
	_ = b.group.Wait()
}

// Set returns the objects of the file.
func (b *Publisher) Set() *config.Set { return b.set }

// Publish replaces the whole configuration with the objects of the file and
// returns the new version.
func (b *Publisher) Publish(ctx context.Context) (uint64, error) {
	return b.publish(ctx, &config.Edit{Action: audit.Publish, Base: config.AnyVersion, Whole: b.set})
}

// Put adds or replaces one object and returns the new version.
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
func Secret(key string) string { return key + secretSuffix }

// FileError reports a configuration file that can't be read or is invalid.
type FileError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

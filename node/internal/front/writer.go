package front

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/platform"
)

const (
	// entriesEach is how many entries of a write one item takes at most.
	entriesEach = 3
	// itemsPerWrite keeps a write under the store's limit of entries.
	itemsPerWrite = platform.MaxEntries / entriesEach
	// itemsQueued bounds the items that wait for a write.
	itemsQueued = 1024
)

// Store is what the package needs of the platform's store.
type Store interface {
	Write(w *platform.Write) (int64, error)
	Read(table, part, from, to string) ([]platform.Row, int64, error)
	// Slow reports whether it takes many times as long as usual.
	Slow() bool
}

// item is rows to be created unless the first of them is there.
type item struct {
	puts []platform.Put
	done chan error
}

// writer creates rows of one partition in transactions that carry the items of several clients,
// one at a time, so that more clients make larger writes and not more of them.
type writer struct {
	store  Store
	logger *zap.Logger
	items  chan *item
}

func newWriter(store Store, logger *zap.Logger) *writer {
	return &writer{store: store, logger: logger, items: make(chan *item, itemsQueued)}
}

// enqueue has rows written unless the first is there already, which is success too. The
// item tells the outcome: a *platform.RefusedError or *platform.DialError means
// that it never will be written, an *UnknownError that it isn't known.
func (w *writer) enqueue(puts []platform.Put) (*item, error) {
	it := &item{puts: puts, done: make(chan error, 1)}
	select {
	case w.items <- it:
		return it, nil
	default:
		return nil, &platform.RefusedError{Call: "queue of writes"}
	}
}

// run writes until ctx ends.
func (w *writer) run(ctx context.Context) error {
	var batch []*item
	for {
		if len(batch) == 0 {
			select {
			case <-ctx.Done():
				return nil
			case it := <-w.items:
				batch = append(batch, it)
			}
		}
		batch = w.fill(batch)
		batch = w.write(batch)
	}
}

// fill adds the items that wait.
func (w *writer) fill(batch []*item) []*item {
	for len(batch) < itemsPerWrite {
		select {
		case it := <-w.items:
			batch = append(batch, it)
		default:
			return batch
		}
	}
	return batch
}

// write does one transaction and returns the items that have to go into another.
func (w *writer) write(batch []*item) []*item {
	tx := platform.Write{}
	for _, it := range batch {
		first := &it.puts[0]
		tx.Conditions = append(tx.Conditions, platform.Condition{Table: first.Table, Part: first.Part, Key: first.Key})
		tx.Puts = append(tx.Puts, it.puts...)
	}
	_, err := w.store.Write(&tx)
	if err == nil {
		for _, it := range batch {
			it.done <- nil
		}
		return nil
	}
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return w.settle(batch, conflict)
	}
	w.logger.Info("write failed", zap.Int("items", len(batch)), zap.Error(err))
	var lost *platform.LostError
	if errors.As(err, &lost) {
		err = &UnknownError{Err: err}
	}
	for _, it := range batch {
		it.done <- err
	}
	return nil
}

// settle answers the items whose rows are there already.
func (w *writer) settle(batch []*item, conflict *platform.ConflictError) []*item {
	there := make(map[string]bool, len(conflict.Rows))
	for _, row := range conflict.Rows {
		if row.Version > 0 && !row.Deleted {
			there[row.Key] = true
		}
	}
	rest := batch[:0]
	for _, it := range batch {
		if there[it.puts[0].Key] {
			it.done <- nil
			continue
		}
		rest = append(rest, it)
	}
	return rest
}

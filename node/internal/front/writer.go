package front

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/platform"
)

const (
	// maxEntriesPerItem is how many entries an item adds to a transaction at most: a
	// condition and two puts.
	maxEntriesPerItem = 3
	// maxItemsPerWrite keeps a transaction within the store's limit of entries.
	maxItemsPerWrite = platform.MaxEntries / maxEntriesPerItem
	// maxItemSize is the largest size of an item, so that each fits in a transaction.
	maxItemSize = platform.MaxPutSize
	// maxQueuedItems bounds the queue of a partition.
	maxQueuedItems = 1024
)

// Store is the part of the store's client that the package uses, with the errors of
// platform.Store.
type Store interface {
	Write(w *platform.Write) (int64, error)
	Read(table, part, from, to string) ([]platform.Row, int64, error)
	// Slow reports whether calls take many times as long as usual.
	Slow() bool
}

// item is a set of rows that are created together, unless the first one exists already.
type item struct {
	puts []platform.Put
	done chan error // receives the outcome once; has room for it
}

// size returns an upper bound of what the item takes in a transaction, in bytes.
func (it *item) size() int {
	n := 0
	for i := range it.puts {
		n += platform.PutSize(len(it.puts[i].Value))
	}
	return n
}

// writer creates rows in one partition. It runs one transaction at a time and puts all
// items that are queued by then into the next, so that more clients lead to larger
// transactions, not to more of them.
type writer struct {
	store  Store
	logger *zap.Logger
	items  chan *item
	next   *item // taken from items and left for the next transaction, or nil; used by run only

	mu     sync.Mutex // guards closed
	closed bool       // run has ended or ends now; nothing more is queued
}

func newWriter(store Store, logger *zap.Logger) *writer {
	return &writer{store: store, logger: logger, items: make(chan *item, maxQueuedItems)}
}

// enqueue queues rows to be created. The item's done channel receives the outcome: nil if
// the rows were created or the first one existed already, a *platform.RefusedError or
// *platform.DialError if they will certainly not be created, or an *UnknownOutcomeError.
// Enqueue itself returns a *platform.RefusedError if the queue is full or run has ended.
func (w *writer) enqueue(puts []platform.Put) (*item, error) {
	it := &item{puts: puts, done: make(chan error, 1)}
	if it.size() > maxItemSize {
		return nil, &platform.RefusedError{Call: "queue write", Status: http.StatusRequestEntityTooLarge}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil, &platform.RefusedError{Call: "queue write"}
	}
	select {
	case w.items <- it:
		return it, nil
	default:
		return nil, &platform.RefusedError{Call: "queue write"}
	}
}

// run writes queued items until ctx ends. Items that haven't been written then are refused.
func (w *writer) run(ctx context.Context) error {
	defer w.close()
	defer func() {
		if w.next != nil {
			refuse([]*item{w.next})
		}
	}()
	var batch []*item
	for ctx.Err() == nil {
		if len(batch) == 0 && w.next == nil {
			select {
			case <-ctx.Done():
				return nil
			case it := <-w.items:
				batch = append(batch, it)
			}
		}
		batch = w.addQueued(batch)
		batch = w.write(batch)
	}
	refuse(batch)
	return nil
}

// refuse ends items that will not be written.
func refuse(items []*item) {
	for _, it := range items {
		it.done <- &platform.RefusedError{Call: "queue write"}
	}
}

// close refuses all queued items and those that are enqueued later.
func (w *writer) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for {
		select {
		case it := <-w.items:
			refuse([]*item{it})
		default:
			return
		}
	}
}

// addQueued adds the queued items to batch, as many as fit in a transaction.
func (w *writer) addQueued(batch []*item) []*item {
	size := 0
	for _, it := range batch {
		size += it.size()
	}
	for len(batch) < maxItemsPerWrite {
		it := w.next
		if it == nil {
			select {
			case it = <-w.items:
			default:
				return batch
			}
		}
		if size += it.size(); size > platform.MaxPutSize {
			w.next = it
			return batch
		}
		batch, w.next = append(batch, it), nil
	}
	return batch
}

// write runs one transaction that creates the rows of batch. It returns the items that
// have to be written again.
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
		return w.resolveConflict(batch, conflict)
	}
	w.logger.Info("write failed", zap.Int("items", len(batch)), zap.Error(err))
	var unanswered *platform.LostError
	if errors.As(err, &unanswered) {
		err = &UnknownOutcomeError{Err: err}
	}
	for _, it := range batch {
		it.done <- err
	}
	return nil
}

// resolveConflict completes the items whose first row exists already, and returns the
// others, which have not been written.
func (w *writer) resolveConflict(batch []*item, conflict *platform.ConflictError) []*item {
	exists := make(map[string]bool, len(conflict.Rows))
	for _, row := range conflict.Rows {
		if row.Version > 0 && !row.Deleted {
			exists[row.Key] = true
		}
	}
	missing := batch[:0]
	for _, it := range batch {
		if exists[it.puts[0].Key] {
			it.done <- nil
			continue
		}
		missing = append(missing, it)
	}
	return missing
}

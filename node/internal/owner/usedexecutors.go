package owner

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// An executor's entry can expire, or be overwritten by another writer, while the executor runs work
// of an owner that can't see that, since it is cut off from the store. A successor that goes by the
// entries alone doesn't know the executor, and starts its tasks again. So the owner records each
// executor before it starts work there (board.Used).

const (
	// usedRowSize bounds the encoded size of a row of used executors. Each executor that joins or
	// leaves rewrites one row.
	usedRowSize = 4096
	// usedRowOverhead is more than the encoded size of a row without executors.
	usedRowOverhead = 16
	// usedOverhead is more than the encoded size of an executor beyond that of its texts.
	usedOverhead = 16
	// maxUsedRows is the most rows of used executors in one write.
	maxUsedRows = 32
)

// usedExecutors is the record of used executors. The term's mu guards it.
type usedExecutors struct {
	most     int      // size of a row
	stale    bool     // the sessions may have changed since set was called
	oversize []string // executors that are left out for the size of their record, sorted
	rows     map[int]*usedRow
	rowOf    map[string]int                // by executor
	leaving  map[string]int                // by executor that was removed, the row that may still list it in the store
	stored   map[string]board.UsedExecutor // by executor, what the store certainly has
}

// usedRow is one row of the record.
type usedRow struct {
	executors map[string]board.UsedExecutor
	size      int  // upper bound of its encoded size
	differs   bool // the stored row may differ
}

// usedPut is a row that is about to be written.
type usedPut struct {
	number    int
	executors map[string]board.UsedExecutor
}

// newUsedExecutors returns an empty record, given the largest size of a row of the store.
func newUsedExecutors(rowSize int) *usedExecutors {
	return &usedExecutors{most: min(usedRowSize, rowSize-usedRowOverhead), rows: make(map[int]*usedRow), rowOf: make(map[string]int), leaving: make(map[string]int), stored: make(map[string]board.UsedExecutor)}
}

// usedRecord returns what is recorded of an executor.
func usedRecord(info *model.Executor) board.UsedExecutor {
	return board.UsedExecutor{Service: info.Service, Address: info.Address, Zone: info.Zone}
}

// usedSize returns an upper bound of the encoded size of one executor of a row.
func usedSize(id string, x board.UsedExecutor) int {
	return len(id) + len(x.Service) + len(x.Address) + len(x.Zone) + usedOverhead
}

// restore adds a stored row.
func (u *usedExecutors) restore(number int, executors map[string]board.UsedExecutor) {
	row := &usedRow{executors: make(map[string]board.UsedExecutor, len(executors))}
	u.rows[number] = row
	for id, x := range executors {
		row.executors[id] = x
		row.size += usedSize(id, x)
		u.rowOf[id], u.stored[id] = number, x
	}
}

// set changes the record to wanted. Those in oversize don't fit in a row and are left out.
func (u *usedExecutors) set(wanted map[string]board.UsedExecutor) (oversize []string) {
	for id, number := range u.rowOf {
		if x, ok := wanted[id]; !ok || x != u.rows[number].executors[id] {
			u.remove(id)
		}
	}
	for id, x := range wanted {
		if _, ok := u.rowOf[id]; ok {
			continue
		}
		size := usedSize(id, x)
		if size > u.most {
			oversize = append(oversize, id)
			continue
		}
		if number, ok := u.rowFor(id, size); ok {
			u.add(number, id, x)
		}
	}
	return oversize
}

// remove takes an executor out of the record.
func (u *usedExecutors) remove(id string) {
	number := u.rowOf[id]
	row := u.rows[number]
	row.size -= usedSize(id, row.executors[id])
	row.differs = true
	delete(row.executors, id)
	delete(u.rowOf, id)
	delete(u.stored, id)
	u.leaving[id] = number
}

// rowFor returns the number of a row with room for an executor. A successor wouldn't know which of
// two rows holds, so there is no such row while another row in the store may still list the executor.
func (u *usedExecutors) rowFor(id string, size int) (int, bool) {
	hasRoom := func(number int) bool { return u.rows[number] == nil || u.rows[number].size+size <= u.most }
	if number, ok := u.leaving[id]; ok {
		return number, hasRoom(number)
	}
	number := 0
	for !hasRoom(number) {
		number++
	}
	return number, true
}

// add puts an executor in a row.
func (u *usedExecutors) add(number int, id string, x board.UsedExecutor) {
	row := u.rows[number]
	if row == nil {
		row = &usedRow{executors: make(map[string]board.UsedExecutor)}
		u.rows[number] = row
	}
	row.executors[id] = x
	row.size += usedSize(id, x)
	row.differs = true
	u.rowOf[id] = number
	delete(u.leaving, id)
}

// changed returns up to n rows that have to be written.
func (u *usedExecutors) changed(n int) []usedPut {
	var puts []usedPut
	for number, row := range u.rows {
		if row.differs && len(puts) < n {
			puts = append(puts, usedPut{number: number, executors: maps.Clone(row.executors)})
		}
	}
	return puts
}

// written notes that a row is stored.
func (u *usedExecutors) written(put usedPut) {
	row := u.rows[put.number]
	row.differs = !maps.Equal(row.executors, put.executors)
	for id, x := range put.executors {
		if row.executors[id] == x {
			u.stored[id] = x
		}
	}
	for id, number := range u.leaving {
		if _, listed := put.executors[id]; number == put.number && !listed {
			delete(u.leaving, id)
			u.stale = true // It may be added again, to another row.
		}
	}
}

// isStored reports whether the record of an executor is stored as it is now.
func (u *usedExecutors) isStored(info *model.Executor) bool {
	x, ok := u.stored[info.ID]
	return ok && x == usedRecord(info)
}

// updateUsed brings the record of used executors up to date with the sessions, and returns up to n
// rows of it that have to be written. The term's mu is held.
func (t *term) updateUsed(n int) []usedPut {
	if !t.entriesLoaded {
		return nil // The sessions aren't complete.
	}
	if !t.used.stale {
		return t.used.changed(n)
	}
	t.used.stale = false
	wanted := make(map[string]board.UsedExecutor, len(t.sessions))
	for id, sess := range t.sessions {
		wanted[id] = usedRecord(&sess.info)
	}
	oversize := t.used.set(wanted)
	slices.Sort(oversize)
	if !slices.Equal(oversize, t.used.oversize) {
		t.used.oversize = oversize
		t.owner.logger.Error("records of executors are too large", zap.Strings("executors", oversize), zap.Int("most", t.used.most), zap.Int64("epoch", t.epoch))
	}
	return t.used.changed(n)
}

// usedWritten notes that rows of used executors are stored. The term's mu is held.
func (t *term) usedWritten(puts []usedPut) {
	for _, put := range puts {
		t.used.written(put)
		for id := range put.executors {
			if sess := t.sessions[id]; sess != nil {
				t.noteUsed(sess)
			}
		}
	}
}

// noteUsed tells the plan whether an executor may get work, since its record is stored. The term's
// mu is held.
func (t *term) noteUsed(sess *session) {
	stored := t.used.isStored(&sess.info)
	t.plan.SetUnrecorded(sess.info.ID, !stored)
	if !stored {
		t.used.stale = true
		signal(t.wakeRecorder)
	}
}

// addUnlisted opens sessions for the executors that earlier owners may have used and that have no
// entry. They get no new work. The term's mu is held.
func (t *term) addUnlisted() {
	added := 0
	for id, x := range t.used.stored {
		if t.sessions[id] != nil {
			continue
		}
		sess := newSession(t, model.Executor{ID: id, Service: x.Service, Address: x.Address, Zone: x.Zone, Draining: true})
		sess.hasEntry, sess.unlistedSince, sess.retired = false, t.owner.clock.Now(), true
		t.sessions[id] = sess
		t.plan.SetExecutor(sess.info)
		sess.run()
		added++
	}
	t.owner.logger.Info("executors known", zap.Int64("epoch", t.epoch), zap.Int("sessions", len(t.sessions)), zap.Int("unlisted", added))
}

// addUsed adds the rows of used executors to a write.
func addUsed(w *platform.Write, puts []usedPut) error {
	for _, p := range puts {
		put, err := board.Put(board.Progress, board.Main, board.UsedKey(p.number), board.Used{Executors: p.executors})
		if err != nil {
			return err
		}
		w.Puts = append(w.Puts, put)
	}
	return nil
}

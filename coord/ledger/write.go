package ledger

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
)

// Create returns the transaction that accepts a job; host is the name of the
// host that writes it. The transaction conflicts if the job or the mark of its
// id exists. Create fails only if the job can't be encoded.
func Create(key string, job *wire.Job, host string) ([]store.Op, error) {
	ops, err := Update(key, job, 0, time.Time{})
	if err != nil {
		return nil, err
	}
	mark := store.Op{Table: Marks, Key: key, Action: store.Put, Value: []byte(host)}
	return append(ops, mark), nil
}

// Update returns the transaction that writes a job's row, provided that the row
// is at version, and moves the job to the index of ended jobs at now if it has
// an outcome. The first operation is the one on the job's row, and the only one
// that can conflict. Update fails only if a row can't be encoded.
func Update(key string, job *wire.Job, version uint64, now time.Time) ([]store.Op, error) {
	value, err := cbor.Marshal(job)
	if err != nil {
		return nil, err
	}
	row := store.Op{Table: Jobs, Key: key, Expect: version, Action: store.Put, Value: value}
	if job.Outcome != "" {
		end, err := cbor.Marshal(End{Ended: now.Unix()})
		if err != nil {
			return nil, err
		}
		return []store.Op{
			row,
			{Table: Opens, Key: key, Expect: store.Any, Action: store.Delete},
			{Table: Ends, Key: key, Expect: store.Any, Action: store.Put, Value: end},
		}, nil
	}
	open, err := cbor.Marshal(newOpen(job))
	if err != nil {
		return nil, err
	}
	return []store.Op{row, {Table: Opens, Key: key, Expect: store.Any, Action: store.Put, Value: open}}, nil
}

// Remove returns the transaction that deletes all rows of an ended job. version
// is that of the job's row, 0 if the row is gone already, and end that of its
// End row. The transaction conflicts if either row has changed.
func Remove(key string, version, end uint64) []store.Op {
	action := store.Delete
	if version == 0 {
		action = store.Check
	}
	return []store.Op{
		{Table: Jobs, Key: key, Expect: version, Action: action},
		{Table: Ends, Key: key, Expect: end, Action: store.Delete},
		{Table: Marks, Key: key, Expect: store.Any, Action: store.Delete},
	}
}

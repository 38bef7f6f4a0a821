package ledger

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
)

// Create returns the transaction that accepts a job which host writes. It
// conflicts if the id was ever used. The error is that of the encoding.
func Create(key string, job *wire.Job, host string) ([]store.Op, error) {
	ops, err := Update(key, job, 0, time.Time{})
	if err != nil {
		return nil, err
	}
	mark := store.Op{Table: Marks, Key: key, Action: store.Put, Value: []byte(host)}
	return append(ops, mark), nil
}

// Update returns the transaction that writes a job's row under the condition
// that it has version. The first part is that of the job's row, and the only
// one that can conflict. The error is that of the encoding.
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
	open, err := cbor.Marshal(openOf(job))
	if err != nil {
		return nil, err
	}
	return []store.Op{row, {Table: Opens, Key: key, Expect: store.Any, Action: store.Put, Value: open}}, nil
}

// Remove returns the transaction that deletes all rows of an ended job whose
// row has version, or which has none any more if that is 0; end is the version
// of its End. It conflicts if either row has changed.
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

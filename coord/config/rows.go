package config

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/balsamford/balsamford/coord/store"
)

// readHead returns the head and the version of its row, both 0 if there is
// none yet.
func readHead(ctx context.Context, platform Reader) (Head, uint64, error) {
	var head Head
	row, err := readRow(ctx, platform, KeyHead, &head)
	return head, row, err
}

// readAccepted returns the newest version in force everywhere and the version
// of the row that says so, both 0 if there is none.
func readAccepted(ctx context.Context, platform Reader) (version, row uint64, err error) {
	var a Accepted
	row, err = readRow(ctx, platform, KeyAccepted, &a)
	return a.Version, row, err
}

// readVersion returns the head of any version, with Version 0 if there is no
// such version.
func readVersion(ctx context.Context, platform Reader, version uint64) (Head, error) {
	var head Head
	_, err := readRow(ctx, platform, VersionKey(version), &head)
	return head, err
}

// readRow reads a row of JSON into out and returns the row's version, 0 if
// there is no such row.
func readRow(ctx context.Context, platform Reader, key string, out any) (uint64, error) {
	row, err := platform.Get(ctx, Table, key)
	var missing *store.MissingError
	if errors.As(err, &missing) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(row.Value, out); err != nil {
		return 0, &FormError{Key: key, Err: err}
	}
	return row.Version, nil
}

// readSnapshot reads the content that a head names.
func readSnapshot(ctx context.Context, platform Reader, head Head) (*Snapshot, error) {
	if head.Version == 0 {
		return NewSnapshot(0, NewSet()), nil
	}
	data, err := platform.Object(ctx, ObjectName(head.Digest))
	if err != nil {
		return nil, err
	}
	return Load(head.Version, head.Digest, data)
}

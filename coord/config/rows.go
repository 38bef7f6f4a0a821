package config

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/balsamford/balsamford/coord/store"
)

// readHead returns the head and the version of its row; both are zero before
// the first publish.
func readHead(ctx context.Context, platform Reader) (Head, uint64, error) {
	var head Head
	row, err := readRow(ctx, platform, KeyHead, &head)
	return head, row, err
}

// readAccepted returns the newest version in force everywhere and the version
// of the accepted row; both are 0 if the row doesn't exist.
func readAccepted(ctx context.Context, platform Reader) (version, row uint64, err error) {
	var a Accepted
	row, err = readRow(ctx, platform, KeyAccepted, &a)
	return a.Version, row, err
}

// readVersion returns the head of any version. Its Version is 0 if the version
// was never published.
func readVersion(ctx context.Context, platform Reader, version uint64) (Head, error) {
	var head Head
	_, err := readRow(ctx, platform, VersionKey(version), &head)
	return head, err
}

// readRow decodes a JSON row into out and returns the row's version, or 0 if
// the row doesn't exist.
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

// readSnapshot loads the content of the version that head identifies.
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

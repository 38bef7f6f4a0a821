package config

import (
	"context"
	"encoding/json"

	"github.com/balsamford/balsamford/coord/wire"
)

// contentFallbacks is the number of peers to ask for content that neither the
// offer's source nor the object store has.
const contentFallbacks = 3

// load fetches the offered version, or a later one that the offer's source has
// by now. Its content is checked against its digest. The error is a *LoadError.
func (f *Follower) load(ctx context.Context, o offer) (Head, *Snapshot, error) {
	var err error
	if o.source != "" {
		var head Head
		var snap *Snapshot
		head, snap, err = f.loadPeer(ctx, o.source)
		if err == nil && head.Version >= o.head.Version {
			return head, snap, nil
		}
	}
	snap, objectErr := f.loadObject(ctx, o.head)
	if objectErr == nil {
		return o.head, snap, nil
	}
	for _, p := range f.nextPeers(contentFallbacks) {
		head, snap, peerErr := f.loadPeer(ctx, p.Address)
		if peerErr == nil && head.Version >= o.head.Version {
			return head, snap, nil
		}
	}
	if err == nil {
		err = objectErr
	}
	return Head{}, nil, &LoadError{Version: o.head.Version, Err: err}
}

func (f *Follower) loadObject(ctx context.Context, head Head) (*Snapshot, error) {
	ctx, cancel := f.timeout(ctx, f.period)
	defer cancel()
	if have := f.Current(); have != nil && have.Digest() == head.Base {
		if snap, err := f.loadChange(ctx, have, head); err == nil {
			return snap, nil
		}
	}
	f.counts.reads.Inc(1)
	data, err := f.platform.Object(ctx, ObjectName(head.Digest))
	if err != nil {
		return nil, err
	}
	return f.decode(head, data)
}

// loadChange loads a version from the object that holds its change from the
// previous version.
func (f *Follower) loadChange(ctx context.Context, have *Snapshot, head Head) (*Snapshot, error) {
	f.counts.reads.Inc(1)
	data, err := f.platform.Object(ctx, ChangeName(head.Base, head.Digest))
	if err != nil {
		return nil, err
	}
	var c Change
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, &FormError{Key: ChangeName(head.Base, head.Digest), Err: err}
	}
	return f.change(have, head, &c)
}

// change applies c to an older version and checks the digest of the result.
func (f *Follower) change(have *Snapshot, head Head, c *Change) (*Snapshot, error) {
	f.counts.bytes.Inc(int64(len(c.Put)))
	set, err := c.apply(have.Set())
	if err != nil {
		return nil, err
	}
	snap := NewSnapshot(head.Version, set)
	if snap.Digest() != head.Digest {
		f.counts.corrupt.Inc(1)
		return nil, &CorruptError{Version: head.Version, Want: head.Digest, Got: snap.Digest()}
	}
	return snap, nil
}

func (f *Follower) loadPeer(ctx context.Context, address string) (Head, *Snapshot, error) {
	ctx, cancel := f.timeout(ctx, f.period)
	defer cancel()
	have := f.Current()
	var in Fetch
	if have != nil {
		in.Have = have.Digest()
	}
	var out Content
	f.counts.pulls.Inc(1)
	if err := f.caller.Call(ctx, address, wire.VerbFetch, in, &out); err != nil {
		return Head{}, nil, err
	}
	if out.Change == nil || have == nil {
		snap, err := f.decode(out.Head, out.Data)
		return out.Head, snap, err
	}
	snap, err := f.change(have, out.Head, out.Change)
	return out.Head, snap, err
}

func (f *Follower) decode(head Head, data []byte) (*Snapshot, error) {
	f.counts.bytes.Inc(int64(len(data)))
	snap, err := Load(head.Version, head.Digest, data)
	if err != nil {
		f.counts.corrupt.Inc(1)
	}
	return snap, err
}

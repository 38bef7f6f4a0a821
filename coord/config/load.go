package config

import (
	"context"

	"github.com/balsamford/balsamford/coord/wire"
)

// spareSources is how many peers are asked for content that neither the
// offer's source nor the object store has.
const spareSources = 3

// load gets the content of the version offered, or of a later one that its
// source has by now, and checks it against its digest.
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
	for _, p := range f.others(spareSources) {
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
	f.counts.reads.Inc(1)
	data, err := f.platform.Object(ctx, ObjectName(head.Digest))
	if err != nil {
		return nil, err
	}
	return f.decode(head, data)
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
	set, err := out.Change.apply(have.Set())
	if err != nil {
		return Head{}, nil, err
	}
	f.counts.bytes.Inc(int64(len(out.Change.Put)))
	snap := NewSnapshot(out.Head.Version, set)
	if snap.Digest() != out.Head.Digest {
		f.counts.corrupt.Inc(1)
		return Head{}, nil, &CorruptError{Version: out.Head.Version, Want: out.Head.Digest, Got: snap.Digest()}
	}
	return out.Head, snap, nil
}

func (f *Follower) decode(head Head, data []byte) (*Snapshot, error) {
	f.counts.bytes.Inc(int64(len(data)))
	snap, err := Load(head.Version, head.Digest, data)
	if err != nil {
		f.counts.corrupt.Inc(1)
	}
	return snap, err
}

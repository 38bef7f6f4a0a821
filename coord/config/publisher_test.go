package config

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/store"
)

func edit(c *testCell, base uint64, objects ...Object) *Edit {
	return &Edit{ID: audit.NewID(c.timers.Now()), Author: "ana", Base: base, Action: audit.Set, Put: objects}
}

// records returns all audit records, oldest first.
func (c *testCell) records(t *testing.T) []audit.Record {
	t.Helper()
	rows, err := audit.New(c.platform).Query(context.Background(), audit.Query{
		Since: c.timers.Now().Add(-25 * time.Hour), Until: c.timers.Now().Add(time.Hour),
	})
	is.New(t).NoErr(err)
	return rows
}

func TestPublish(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	f := c.start("a", "z1")
	p := NewPublisher(c.platform, c.timers, zap.NewNop())
	res, err := p.Publish(t.Context(), edit(c, 0, &Team{Name: "shop"}))
	is.NoErr(err)
	is.Equal(res.Head.Version, uint64(1))
	c.refreshAll()
	is.Equal(f.Current().Teams(), []string{"shop"})

	res, err = p.Publish(t.Context(), edit(c, AnyVersion, &Team{Name: "shop"}))
	is.NoErr(err)
	is.True(res.Unchanged)

	_, err = p.Publish(t.Context(), edit(c, 1, &Limit{Name: "x", Team: "none"}))
	var invalid *InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(invalid.Faults[0].Object, "limit.x")

	_, err = p.Publish(t.Context(), edit(c, 1, &Team{Name: "north"}))
	is.NoErr(err)
	_, err = p.Publish(t.Context(), edit(c, 1, &Team{Name: "south"}))
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Theirs[0].Ref, Ref{TypeTeam, "north"})
	is.Equal(conflict.Yours[0].Ref, Ref{TypeTeam, "south"})

	again := edit(c, 2, &Team{Name: "west"})
	first, err := p.Publish(t.Context(), again)
	is.NoErr(err)
	second, err := p.Publish(t.Context(), again)
	is.NoErr(err)
	is.True(second.Again)
	is.Equal(first.Head, second.Head)
	verdicts := make(map[audit.Verdict]int)
	for _, r := range c.records(t) {
		verdicts[r.Verdict]++
	}
	is.Equal(verdicts, map[audit.Verdict]int{audit.Accepted: 3, audit.Unchanged: 1, audit.Refused: 1, audit.Conflict: 1})
}

func TestEditsOfDifferentObjectsBothWin(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	racer := &racingPlatform{Memory: c.platform}
	p := NewPublisher(racer, c.timers, zap.NewNop())
	other := NewPublisher(c.platform, c.timers, zap.NewNop())
	racer.beforeCommit = func() {
		_, err := other.Publish(t.Context(), edit(c, AnyVersion, &Team{Name: "theirs"}))
		is.NoErr(err)
	}
	_, err := p.Publish(t.Context(), edit(c, AnyVersion, &Team{Name: "mine"}))
	is.NoErr(err)
	_, snap, err := p.Newest(t.Context())
	is.NoErr(err)
	is.Equal(snap.Teams(), []string{"mine", "theirs"})
}

// racingPlatform calls beforeCommit once, just before the first commit.
type racingPlatform struct {
	*store.Memory
	beforeCommit func()
}

func (p *racingPlatform) Commit(ctx context.Context, ops []store.Op) error {
	if f := p.beforeCommit; f != nil {
		p.beforeCommit = nil
		f()
	}
	return p.Memory.Commit(ctx, ops)
}

func TestTrailHoldsNoDigestInFull(t *testing.T) {
	is := is.New(t)
	c := newTestCell()
	p := NewPublisher(c.platform, c.timers, zap.NewNop())
	secret, digest := NewSecret("ops")
	_, err := p.Publish(t.Context(), edit(c, 0, &Key{Name: "ops", Role: RoleOperator, Digest: digest}))
	is.NoErr(err)
	rows, err := c.platform.Scan(t.Context(), audit.Table, "")
	is.NoErr(err)
	is.True(strings.Contains(string(rows[0].Value), "key.ops"))
	is.True(!strings.Contains(string(rows[0].Value), string(digest)))
	is.True(!strings.Contains(string(rows[0].Value), secret))
}

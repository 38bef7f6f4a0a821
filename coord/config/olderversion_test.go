package config

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestChangeSinceAnyVersion takes a follower through random versions and checks
// that the change it sends for each older version leads to the current one.
func TestChangeSinceAnyVersion(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		is := is.New(t)
		c := newTestCell()
		f := c.start("a", "z1")
		name := rapid.SampledFrom([]string{"a", "b", "c"})
		note := rapid.SampledFrom([]string{"", "x"})
		set, sets := NewSet(), []*Snapshot(nil)
		for v := range rapid.IntRange(1, 8).Draw(r, "versions") {
			set = set.Clone()
			if !rapid.Bool().Draw(r, "delete") || !set.Delete(Ref{TypeTeam, name.Draw(r, "team")}) {
				set.Put(&Team{Name: name.Draw(r, "team"), Note: note.Draw(r, "note")})
			}
			snap := NewSnapshot(uint64(v+1), set)
			f.applyPublished(Head{Version: snap.Version(), Digest: snap.Digest()}, snap)
			sets = append(sets, snap)
		}
		for _, old := range sets {
			out := f.handleFetch(Fetch{Have: old.Digest()})
			is.True(out.Change != nil)
			got, err := out.Change.apply(old.Set())
			is.NoErr(err)
			is.Equal(got.Sum(), f.Current().Digest())
		}
	})
}

package owner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return out
}

// When a member leaves, only its own keys move, each to the second in rank. The
// reverse holds when it joins.
func TestFewMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := names("placer", rapid.IntRange(2, 22).Draw(t, "members"))
		gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		rest := append(append([]string(nil), members[:gone]...), members[gone+1:]...)
		for _, key := range names("rack", 200) {
			before, after := Of(key, members), Of(key, rest)
			if before != members[gone] && before != after {
				t.Fatalf("%s moved from %s to %s although %s went", key, before, after, members[gone])
			}
			if before == members[gone] && after != Rank(key, members)[1] {
				t.Fatalf("%s didn't pass to the second in rank", key)
			}
		}
	})
}

func TestEvenSpread(t *testing.T) {
	is := is.New(t)
	members := names("placer", 10)
	count := make(map[string]int)
	for _, key := range names("rack", 10000) {
		count[Of(key, members)]++
	}
	for _, m := range members {
		is.True(count[m] > 850 && count[m] < 1150) // within 15% of an even share
	}
}

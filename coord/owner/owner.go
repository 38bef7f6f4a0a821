package owner

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// separator divides key and member in the hashed text, so that no two pairs
// give the same text.
const separator = "\x00"

// Of returns the member that should own key, or an empty string if there are
// no members. The order of members doesn't matter.
func Of(key string, members []string) string {
	best, top := "", uint64(0)
	for _, m := range members {
		c := score(key, m)
		if best == "" || c > top || (c == top && m < best) {
			best, top = m, c
		}
	}
	return best
}

// Rank returns the members by descending score for key: the owner first, then
// its successors in order. members is not changed.
func Rank(key string, members []string) []string {
	ranked := append([]string(nil), members...)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := score(key, ranked[i]), score(key, ranked[j])
		if a == b {
			return ranked[i] < ranked[j]
		}
		return a > b
	})
	return ranked
}

// score returns the member's score for key.
func score(key, member string) uint64 {
	return mix(xxhash.Sum64String(key + separator + member))
}

// mix is the finaliser of splitmix64. It spreads the hash's bits further, since
// keys and members differ in few characters only.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

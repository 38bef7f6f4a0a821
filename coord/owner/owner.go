package owner

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// separator stands between the parts of a claim, so that no two pairs run
// together.
const separator = "\x00"

// Of returns the member that should own key, or an empty string if there are
// no members. The order of members doesn't matter.
func Of(key string, members []string) string {
	best, top := "", uint64(0)
	for _, m := range members {
		c := claim(key, m)
		if best == "" || c > top || (c == top && m < best) {
			best, top = m, c
		}
	}
	return best
}

// Rank returns the members by falling claim on key: the owner first, then
// who follows when those before are gone.
func Rank(key string, members []string) []string {
	ranked := append([]string(nil), members...)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := claim(key, ranked[i]), claim(key, ranked[j])
		if a == b {
			return ranked[i] < ranked[j]
		}
		return a > b
	})
	return ranked
}

func claim(key, member string) uint64 {
	return mix(xxhash.Sum64String(key + separator + member))
}

// mix spreads the hash's bits once more (the finaliser of splitmix64), since
// keys and members differ in few characters.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

package parts

import "testing"

// BenchmarkTake is what the limit adds to one start and one end.
func BenchmarkTake(b *testing.B) {
	h := New("h", "a")
	h.Limit(map[string]Dims{team: allDims})
	task := Amount{1, 1000, 1 << 30, 1, 1}
	h.split(team).part = task
	b.ReportAllocs()
	for b.Loop() {
		if !h.Take(team, task) {
			b.Fatal("no room")
		}
		h.Give(team, task)
	}
}

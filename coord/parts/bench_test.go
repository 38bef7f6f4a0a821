package parts

import "testing"

// BenchmarkTake measures what limits add to the start and the end of one task.
func BenchmarkTake(b *testing.B) {
	h := New("h", "a")
	h.Limit(map[string]Dims{team: allDims})
	task := Amount{1, 1000, 1 << 30, 1, 1}
	h.teamPart(team).part = task
	b.ReportAllocs()
	for b.Loop() {
		if !h.Take(team, task) {
			b.Fatal("no room")
		}
		h.Give(team, task)
	}
}

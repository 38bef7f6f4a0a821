package board

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Main is the partition that only the owner writes, so that its writes wait for
// nobody else's.
const Main = "main"

// jobParts is over how many partitions jobs are spread. A partition does one
// transaction after another, and a slow store takes half a second for each.
const jobParts = 16

// partStep is how far apart the partitions of two tries are; it has no factor in
// common with jobParts.
const partStep = 5

// PartOf returns the partition for what clients write of a job, at the nth try:
// the next one may work while one is away. Submissions of one job that end up in
// two partitions are still one job.
func PartOf(id string, try int) string {
	return partName(int((xxhash.Sum64String(id) + uint64(try)*partStep) % jobParts))
}

// JobParts returns the partitions of what clients write.
func JobParts() []string {
	out := make([]string, jobParts)
	for i := range out {
		out[i] = partName(i)
	}
	return out
}

// Parts returns all partitions of a cell.
func Parts() []string { return append(JobParts(), Main) }

func partName(i int) string { return "jobs" + strconv.Itoa(i) }

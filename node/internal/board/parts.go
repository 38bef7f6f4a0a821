package board

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Main is the partition that only the owner writes, so that its writes don't queue
// behind those of other hosts.
const Main = "main"

// jobPartCount is the number of partitions that jobs are spread over. The store runs
// the transactions of a partition one at a time, and takes half a second for each while
// it is slow.
const jobPartCount = 16

// MaxAttempts is how many partitions are tried for the rows of a request.
const MaxAttempts = 2

// attemptStride is the distance between the partitions of two successive attempts. It is
// coprime to jobPartCount, so that successive attempts reach all partitions.
const attemptStride = 5

// PartOf returns the partition for the rows that are written on a client's request
// about a job. Each attempt, counted from 0, uses another partition, since the first may
// be unavailable. A job whose acceptance was written to two partitions is still one job.
func PartOf(id string, attempt int) string {
	return partName(int((xxhash.Sum64String(id) + uint64(attempt)*attemptStride) % jobPartCount))
}

// PartsFor returns the partitions that may have rows of a job.
func PartsFor(id string) []string {
	out := make([]string, MaxAttempts)
	for attempt := range out {
		out[attempt] = PartOf(id, attempt)
	}
	return out
}

// JobParts returns the partitions that PartOf chooses from.
func JobParts() []string {
	out := make([]string, jobPartCount)
	for i := range out {
		out[i] = partName(i)
	}
	return out
}

// Parts returns all partitions of a cell, Main included.
func Parts() []string { return append(JobParts(), Main) }

func partName(i int) string { return "jobs" + strconv.Itoa(i) }

// Package bench runs a scheduler with a seeded list of arrivals on manual time.
// It measures waiting times, packing, the distance of teams from their shares
// and the time that scheduling passes take. It isn't a simulator of a cluster:
// it models no messages or processes, and starts take a fixed delay.
package bench

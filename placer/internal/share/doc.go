// Package share lets each placer compute a team's share from its usage in the
// whole fleet. A Summary is the usage of all teams at one placer, bounded in
// size. A View adds up the latest summaries of all peers.
package share

// Package usage exchanges summaries of the teams' usage with the other placers,
// so that each placer can compute a team's share of the whole fleet. Lost, late
// and duplicated summaries do no harm: each one has a sequence number and
// contains the whole usage, and the last one of a silent placer expires.
package usage

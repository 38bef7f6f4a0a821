// Package usage tells the other placers what this placer's teams use, and takes
// in what they tell, so that each placer weighs a team by what it has in the
// whole fleet. Words that are lost, late or doubled do no harm: each carries
// the whole usage and its number, and what a silent placer said lapses.
package usage

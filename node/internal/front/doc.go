// Package front answers clients: it checks their keys, has submitted jobs and
// cancellations stored, and tells the state of jobs and queues from the board.
// A submission is answered with success only once the store has it, and as
// refused only if it is certain that it will never be stored.
package front

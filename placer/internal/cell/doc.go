// Package cell keeps the table of endpoints that one placer owns: what each
// declares, what is granted on it, what it reports as used, and the room that
// is left.
package cell

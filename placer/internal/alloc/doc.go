// Package alloc holds the table of endpoints that one placer owns: the declared
// capacity of each, the resources granted on it, the reported usage and the
// free room.
package alloc

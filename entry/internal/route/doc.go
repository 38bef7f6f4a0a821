// Package route knows the placers, how loaded they say they are, and which of
// them a request should be offered to.
package route

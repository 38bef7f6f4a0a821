// Package admit bounds how many requests are under way at a time and shares
// the places fairly between teams while there are too few.
package admit

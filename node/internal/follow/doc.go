// Package follow keeps up with tables of the platform's store: it reads a table
// once and then hears of each change, in order, through outages of the store
// and losses of its history.
package follow

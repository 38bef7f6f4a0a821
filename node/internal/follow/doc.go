// Package follow watches tables of the platform's store. It reads a table once and then
// receives every change in order by long polls. After an outage of the store it continues
// from the last version, and reads the whole table again if the store no longer has the
// changes since then.
package follow

// Package audit keeps the trail of what operators did: one row of the
// platform's table for each action, written once and never changed. A record
// of a change that takes effect is written in the change's own transaction
// (Log.Op), so that there is never one without the other; others are written
// alone (Log.Write).
package audit

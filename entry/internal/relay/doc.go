// Package relay sends requests to placers and brings their answers back. It
// decides after each failure whether a request may be sent again, and what
// can truthfully be said of one that can't.
package relay

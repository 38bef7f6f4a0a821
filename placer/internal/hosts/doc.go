// Package hosts discovers endpoints and other placers. It reads them from the
// settings, which always apply, and from the platform's list of live and leaving
// hosts, which may be out of date or unavailable.
package hosts

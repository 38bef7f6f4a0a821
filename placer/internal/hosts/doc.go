// Package hosts finds endpoints and other placers: in settings, which always
// hold, and in the platform's list of live and leaving hosts, which lags and
// may be away.
package hosts

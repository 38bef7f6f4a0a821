// Package serve provides the HTTP servers of the stand-in: the platform's API
// of package store and the endpoints' API of package point.
package serve

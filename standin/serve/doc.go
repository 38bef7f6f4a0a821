// Package serve puts the platform and the endpoints of the stand-in behind
// HTTP, with the interfaces that packages store and point describe.
package serve

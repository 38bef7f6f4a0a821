// Package dial makes the TCP connections of HTTP clients: it marks failures
// to connect, after which nothing can have been sent, and it can close all
// connections of a client, so that no call outlives it.
package dial

// Package dial opens TCP connections for HTTP clients. It distinguishes failures
// to connect, after which nothing can have been sent, from other errors, and it
// can close all connections of a client, which ends the client's pending calls.
package dial

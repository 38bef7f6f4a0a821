// Package httpd serves HTTP/1.1 to callers on gnet's event loops with
// fasthttp's message types. Every buffer, connection count and wait is
// bounded, so that slow and hostile callers cost little. An event loop never
// blocks: handlers run on a bounded group of goroutines.
package httpd

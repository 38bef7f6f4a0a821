// Package httpd is an HTTP/1.1 and HTTPS server on gnet's event loops that uses
// fasthttp's message types. Buffers, connections and waiting times are limited,
// so that slow or malicious clients use few resources. Event loops never block:
// handlers run on a limited number of goroutines.
package httpd

// Package relay reaches the platform's store through other hosts while this host has no
// direct access to it: the store may refuse some hosts or be partitioned from them, and
// still serve others.
//
// A Relay tracks whether direct access works, and makes direct calls for other hosts. A
// Client calls the store directly first, and forwards a call to another host if that
// fails or takes much longer than usual. It then sends later calls through that host first,
// until a probe shows that direct access works again. A forwarded call is never forwarded
// again.
package relay

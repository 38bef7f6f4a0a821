package httpd

import "github.com/rcrowley/go-metrics"

// counts are the metrics of a Server.
type counts struct {
	conns            metrics.Gauge   // connections open
	requests         metrics.Counter // requests passed to the handler
	refused          metrics.Counter // connections and requests refused because of a limit
	invalid          metrics.Counter // malformed or unsupported requests
	expired          metrics.Counter // connections closed at their deadline
	stalled          metrics.Counter // connections closed because the client didn't read
	handshakes       metrics.Counter // TLS handshakes completed
	handshakesFailed metrics.Counter // TLS handshakes that failed or were cut off by a close
}

func newCounts(r metrics.Registry) *counts {
	return &counts{
		conns:            metrics.GetOrRegisterGauge("entry.door.conns", r),
		requests:         metrics.GetOrRegisterCounter("entry.door.requests", r),
		refused:          metrics.GetOrRegisterCounter("entry.door.refused", r),
		invalid:          metrics.GetOrRegisterCounter("entry.door.invalid", r),
		expired:          metrics.GetOrRegisterCounter("entry.door.late", r),
		stalled:          metrics.GetOrRegisterCounter("entry.door.stalled", r),
		handshakes:       metrics.GetOrRegisterCounter("entry.door.shakes", r),
		handshakesFailed: metrics.GetOrRegisterCounter("entry.door.aborted", r),
	}
}

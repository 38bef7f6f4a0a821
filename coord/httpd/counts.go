package httpd

import "github.com/rcrowley/go-metrics"

// counts are the metrics of a Server.
type counts struct {
	conns    metrics.Gauge   // connections open
	requests metrics.Counter // requests given to the handler
	refused  metrics.Counter // connections and requests over a limit
	invalid  metrics.Counter // requests that can't be understood
	late     metrics.Counter // connections closed for a deadline
	stalled  metrics.Counter // answers given up because the caller didn't read
	shakes   metrics.Counter // TLS handshakes that ended well
	aborted  metrics.Counter // TLS handshakes that began and failed or were cut
}

func newCounts(r metrics.Registry) *counts {
	return &counts{
		conns:    metrics.GetOrRegisterGauge("entry.door.conns", r),
		requests: metrics.GetOrRegisterCounter("entry.door.requests", r),
		refused:  metrics.GetOrRegisterCounter("entry.door.refused", r),
		invalid:  metrics.GetOrRegisterCounter("entry.door.invalid", r),
		late:     metrics.GetOrRegisterCounter("entry.door.late", r),
		stalled:  metrics.GetOrRegisterCounter("entry.door.stalled", r),
		shakes:   metrics.GetOrRegisterCounter("entry.door.shakes", r),
		aborted:  metrics.GetOrRegisterCounter("entry.door.aborted", r),
	}
}

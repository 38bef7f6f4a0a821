package httpd

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// drainPoll is the interval at which the output buffer of a slow client is
// polled. gnet has no event for a drained buffer.
const drainPoll = 5 * time.Millisecond

// whenDrained calls done on the event loop once at most limit bytes of output
// are buffered for the client. If the client reads nothing for Limits.Write,
// the connection is closed and done isn't called. whenDrained must be called
// on the event loop.
func (cn *conn) whenDrained(raw gnet.Conn, limit int, done func()) {
	pending := raw.OutboundBuffered()
	if pending <= limit {
		done()
		return
	}
	d := &drain{conn: cn, done: done, limit: limit, pending: pending, progressAt: cn.server.clock.Now()}
	d.schedule()
}

// drain polls the output buffer of one connection until it is small enough.
type drain struct {
	conn       *conn
	done       func()
	limit      int       // bytes that may stay buffered when done is called
	pending    int       // bytes buffered at progressAt
	progressAt time.Time // when the client last read something
}

func (d *drain) schedule() {
	d.conn.server.clock.After(drainPoll, func() {
		_ = d.conn.gnetConn.EventLoop().Execute(context.Background(), gnet.RunnableFunc(d.poll))
	})
}

// poll checks the output buffer once; it runs on the event loop.
func (d *drain) poll(context.Context) error {
	s := d.conn.server
	if d.conn.gnetConn.Context() == nil {
		return nil
	}
	pending := d.conn.gnetConn.OutboundBuffered()
	if pending <= d.limit {
		d.done()
		return nil
	}
	now := s.clock.Now()
	if pending < d.pending {
		d.pending, d.progressAt = pending, now
	}
	if now.Sub(d.progressAt) > s.limits.Write {
		s.counts.stalled.Inc(1)
		return d.conn.gnetConn.EventLoop().Close(d.conn.gnetConn)
	}
	d.schedule()
	return nil
}

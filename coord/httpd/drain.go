package httpd

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// drainPoll is how often the output of a slow caller is looked at. gnet has
// no event for it.
const drainPoll = 5 * time.Millisecond

// whenDrained calls f on the event loop once at most room bytes of output
// wait for the caller. A caller that reads nothing for the write limit loses
// its connection. It must be called on the event loop.
func (cn *conn) whenDrained(raw gnet.Conn, room int, f func()) {
	waiting := raw.OutboundBuffered()
	if waiting <= room {
		f()
		return
	}
	d := &drain{conn: cn, then: f, room: room, waiting: waiting, since: cn.server.clock.Now()}
	d.again()
}

// drain watches one connection's output.
type drain struct {
	conn    *conn
	then    func()
	room    int // bytes of output that may wait
	waiting int // bytes at the last progress
	since   time.Time
}

func (d *drain) again() {
	d.conn.server.clock.After(drainPoll, func() {
		_ = d.conn.raw.EventLoop().Execute(context.Background(), gnet.RunnableFunc(d.look))
	})
}

// look runs on the event loop.
func (d *drain) look(context.Context) error {
	s := d.conn.server
	if d.conn.raw.Context() == nil {
		return nil
	}
	waiting := d.conn.raw.OutboundBuffered()
	if waiting <= d.room {
		d.then()
		return nil
	}
	now := s.clock.Now()
	if waiting < d.waiting {
		d.waiting, d.since = waiting, now
	}
	if now.Sub(d.since) > s.limits.Write {
		s.counts.stalled.Inc(1)
		return d.conn.raw.EventLoop().Close(d.conn.raw)
	}
	d.again()
	return nil
}

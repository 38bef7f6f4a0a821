package owner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/balsamford/balsamford/node/internal/plan"
)

// The owner's forecast reaches the other hosts in the replies to their notifications of submitted
// jobs, so that it takes no messages of its own while hosts accept jobs. A host that rejects jobs sends an
// empty notification for it. Where no forecast arrives for a second, since the owner is lost,
// overloaded or can't be reached, the last one expires and jobs are accepted.

const (
	// forecastInterval is the least time between two forecasts.
	forecastInterval = 250 * time.Millisecond
	// forecastAskInterval is the least time between two questions of a host for a forecast.
	forecastAskInterval = 100 * time.Millisecond
	// maxForecastDelay bounds how long before its reply a forecast may have been made by the owner's
	// account. Later ones have expired anyway.
	maxForecastDelay = time.Minute
)

// forecastID names a forecast. A later term or a later forecast of a term has a higher one.
type forecastID struct {
	Epoch int64 `cbor:"1,keyasint,omitempty"`
	Seq   int64 `cbor:"2,keyasint,omitempty"` // 0 for none
}

// after reports whether x was made after y.
func (x forecastID) after(y forecastID) bool {
	return x.Epoch > y.Epoch || x.Epoch == y.Epoch && x.Seq > y.Seq
}

// madeForecast is the last forecast of a term.
type madeForecast struct {
	forecast *plan.Forecast // nil before the first one
	seq      int64
	at       time.Duration // when it was made, in boot time
}

// updateForecast makes a forecast if the last one is old enough. It is called after decisions. The term's mu is
// held.
func (t *term) updateForecast(now time.Time) {
	at := t.owner.clock.Boot()
	if !t.loaded || t.made.forecast != nil && at-t.made.at < forecastInterval {
		return
	}
	t.made = madeForecast{forecast: t.plan.Forecast(now), seq: t.made.seq + 1, at: at}
}

// notificationReply returns the reply to a notification: the term's forecast, unless the host has it. A
// term that is about to end may have lost the cell, so it has none.
func (t *term) notificationReply(seen forecastID) *notificationReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := forecastID{Epoch: t.epoch, Seq: t.made.seq}
	if t.made.forecast == nil || t.resigning || !id.after(seen) {
		return &notificationReply{}
	}
	return &notificationReply{ID: id, Age: t.owner.clock.Boot() - t.made.at, Forecast: t.made.forecast}
}

// heldForecast is the newest forecast that a host has received.
type heldForecast struct {
	mu       sync.Mutex // guards the fields below
	id       forecastID
	forecast *plan.Forecast
	made     time.Duration // when it was made at the latest, in this host's boot time

	asked time.Duration // when RefreshForecast last asked, in boot time; 0 for never

	asking atomic.Bool // an empty notification is queued or on its way
}

// take keeps the forecast of a reply to a notification that was sent at sent, in boot time. It doesn't replace a
// later one: replies of an earlier owner may be late.
func (h *heldForecast) take(r *notificationReply, sent time.Duration) {
	if r.Forecast == nil || r.Age < 0 || r.Age > maxForecastDelay {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.ID.after(h.id) {
		h.id, h.forecast, h.made = r.ID, r.Forecast, sent-r.Age
	}
}

// seen returns the ID of the forecast that the host has.
func (h *heldForecast) seen() forecastID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.id
}

// mayAsk reports whether the last question was long enough ago, and notes one if so. Otherwise each rejection would
// lead to a call while the owner has no newer forecast.
func (h *heldForecast) mayAsk(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.asked > 0 && now-h.asked < forecastAskInterval {
		return false
	}
	h.asked = now
	return true
}

// Forecast returns the owner's newest forecast that this host has, and its age at most. It returns nil if there
// is none or the board names a later owner.
func (o *Owner) Forecast() (*plan.Forecast, time.Duration) {
	now := o.clock.Boot()
	if t := o.currentTerm(); t != nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.resigning {
			return nil, 0
		}
		return t.made.forecast, now - t.made.at
	}
	row, _ := o.board.Owner()
	o.heldForecast.mu.Lock()
	defer o.heldForecast.mu.Unlock()
	if o.heldForecast.forecast == nil || row.Epoch > o.heldForecast.id.Epoch {
		return nil, 0
	}
	return o.heldForecast.forecast, now - o.heldForecast.made
}

// RefreshForecast asks the owner for its forecast, unless this host does so already or has done so a
// moment ago. It doesn't block.
func (o *Owner) RefreshForecast() {
	if o.Owning() || !o.heldForecast.mayAsk(o.clock.Boot()) || !o.heldForecast.asking.CompareAndSwap(false, true) {
		return
	}
	select {
	case o.notifications <- notification{Ask: true}:
	default: // Those that are queued bring a forecast.
		o.heldForecast.asking.Store(false)
	}
}

// Hosts returns the number of hosts on the board.
func (o *Owner) Hosts() int { return len(o.board.Hosts()) }

package owner

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
)

// A host uses the newest forecast of the newest owner that it has heard from, and none of an owner that was
// succeeded or that it hasn't heard from for long.
func TestHeldForecast(t *testing.T) {
	reply := func(epoch, seq int64, age time.Duration) *notificationReply {
		return &notificationReply{ID: forecastID{Epoch: epoch, Seq: seq}, Age: age, Forecast: &plan.Forecast{}}
	}
	tests := map[string]struct {
		replies []*notificationReply
		passes  time.Duration
		epoch   int64 // on the board
		seen    forecastID
		usable  bool
		age     time.Duration
	}{
		"nothing heard":                  {},
		"owner with an earlier program":  {replies: []*notificationReply{{}}},
		"fresh":                          {replies: []*notificationReply{reply(2, 5, 30*time.Millisecond)}, epoch: 2, seen: forecastID{2, 5}, usable: true, age: 30 * time.Millisecond},
		"nothing newer":                  {replies: []*notificationReply{reply(2, 5, 0), {}}, passes: time.Second, epoch: 2, seen: forecastID{2, 5}, usable: true, age: time.Second},
		"late reply of an earlier owner": {replies: []*notificationReply{reply(3, 1, 0), reply(2, 9, 0)}, epoch: 3, seen: forecastID{3, 1}, usable: true},
		"reply from before the last one": {replies: []*notificationReply{reply(2, 6, 0), reply(2, 5, 0)}, epoch: 2, seen: forecastID{2, 6}, usable: true},
		"owner was succeeded":            {replies: []*notificationReply{reply(2, 5, 0)}, epoch: 3, seen: forecastID{2, 5}},
		"board lags behind":              {replies: []*notificationReply{reply(2, 5, 0)}, epoch: 1, seen: forecastID{2, 5}, usable: true},
		"age can't be right":             {replies: []*notificationReply{reply(2, 5, -time.Second)}, epoch: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tm, b := newTerm()
			o, clock := tm.owner, timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
			o.setTerm(nil)
			o.clock = clock
			putRow(t, b, board.OwnerKey, board.Owner{Host: "other", Epoch: tt.epoch})
			for _, r := range tt.replies {
				o.heldForecast.take(r, clock.Boot())
			}
			clock.Advance(tt.passes)
			is.Equal(o.heldForecast.seen(), tt.seen)
			f, age := o.Forecast()
			is.Equal(f != nil, tt.usable)
			is.Equal(age, tt.age)
		})
	}
}

// The owner sends its forecast once to each host, makes at most four a second, and sends none before it has loaded
// the recorded jobs or when it hands ownership over.
func TestForecastInReplies(t *testing.T) {
	is := is.New(t)
	tm, _ := newTerm()
	clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
	tm.owner.clock = clock
	tm.updateForecast(clock.Now())
	is.Equal(tm.notificationReply(forecastID{}).Forecast, nil) // not loaded
	tm.loaded = true
	tm.updateForecast(clock.Now())
	first := tm.notificationReply(forecastID{})
	is.True(first.Forecast.Unknown) // its memory is too young
	is.Equal(tm.notificationReply(first.ID).Forecast, nil)
	clock.Advance(forecastInterval / 2)
	tm.updateForecast(clock.Now())
	is.Equal(tm.notificationReply(first.ID).Forecast, nil) // too early for another one
	clock.Advance(2 * time.Second)
	tm.updateForecast(clock.Now())
	clock.Advance(50 * time.Millisecond)
	next := tm.notificationReply(first.ID)
	is.True(!next.Forecast.Unknown)
	is.Equal(next.Age, 50*time.Millisecond)
	is.Equal(tm.notificationReply(forecastID{Epoch: tm.epoch + 1, Seq: 1}).Forecast, nil) // the host has heard a successor
	tm.resigning = true
	is.Equal(tm.notificationReply(first.ID).Forecast, nil)
	f, _ := tm.owner.Forecast()
	is.Equal(f, nil)
}

// Hosts and owners with an earlier program, whose messages lack the forecast, and later ones understand each other.
func TestForecastBetweenPrograms(t *testing.T) {
	is := is.New(t)
	sent := &notificationReply{ID: forecastID{2, 5}, Age: time.Millisecond, Forecast: &plan.Forecast{
		Queues: map[string]*plan.QueueForecast{"q": {Room: [2]plan.Waits{{1, 2, 3}, {4, 5, 6}}, Margins: [2]float64{1.25, 100}}},
		Teams:  map[string]*plan.TeamForecast{"t": {Jobs: 0.5, Rate: 8}}, Limits: map[string][]plan.LimitForecast{"t": {{Queue: "q", Waits: [2]plan.Waits{{7}}}}},
	}}
	data, err := cbor.Marshal(sent)
	is.NoErr(err)
	var got notificationReply
	is.NoErr(cbor.Unmarshal(data, &got))
	is.Equal(&got, sent)
	is.NoErr(cbor.Unmarshal(data, &struct{}{})) // the earlier reply
	data, err = cbor.Marshal(struct{}{})
	is.NoErr(err)
	got = notificationReply{}
	is.NoErr(cbor.Unmarshal(data, &got))
	is.Equal(got, notificationReply{})
	data, err = cbor.Marshal(&notification{Cancelled: []string{"a"}, Seen: forecastID{2, 5}})
	is.NoErr(err)
	var earlier struct {
		Cancelled []string `cbor:"2,keyasint,omitempty"`
	}
	is.NoErr(cbor.Unmarshal(data, &earlier))
	is.Equal(earlier.Cancelled, []string{"a"})
}

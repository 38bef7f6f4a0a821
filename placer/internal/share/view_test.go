package share

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

func TestView(t *testing.T) {
	is := is.New(t)
	clock := timer.New(timer.WithManual(time.Unix(0, 0)))
	v := New(clock)
	summary := func(placer string, epoch, seq uint64, cpu int64) Summary {
		return Summary{Placer: placer, Epoch: epoch, Seq: seq, Capacity: wire.Needs{CPU: 10}, Teams: []TeamUsage{NewTeamUsage("t", wire.Needs{CPU: cpu})}}
	}
	v.Merge(summary("p1", 1, 2, 5))
	v.Merge(summary("p1", 1, 1, 9)) // older
	v.Merge(summary("p2", 1, 1, 1))
	is.Equal(v.Used("t").CPU, int64(6))
	v.Merge(summary("p1", 2, 1, 2)) // restarted
	is.Equal(v.Used("t").CPU, int64(3))
	is.Equal(v.Capacity().CPU, int64(20))
	clock.Advance(SummaryTTL + time.Second)
	v.Merge(summary("p2", 1, 2, 1))
	is.Equal(v.Used("t").CPU, int64(1)) // p1 is silent
}

// TestSilentPeersExpire checks that the last summaries of peers stop counting
// when a placer is partitioned from all of them.
func TestSilentPeersExpire(t *testing.T) {
	is := is.New(t)
	clock := timer.New(timer.WithManual(time.Unix(0, 0)))
	v := New(clock)
	v.Merge(Summary{Placer: "p1", Seq: 1, Capacity: wire.Needs{CPU: 10}, Teams: []TeamUsage{NewTeamUsage("t", wire.Needs{CPU: 5})}})
	before := v.Version()
	clock.Advance(SummaryTTL)
	is.Equal(v.Version(), before)
	clock.Advance(time.Second)
	is.True(v.Version() > before)
	is.Equal(v.Used("t").CPU, int64(0))
	is.Equal(v.Capacity().CPU, int64(0))
}

// TestSummaryIsSmall checks that summaries use at most half of the control
// traffic budget of 27 KB per second and host, if 22 hosts of a zone send one to
// each other every Period.
func TestSummaryIsSmall(t *testing.T) {
	is := is.New(t)
	s := Summary{Placer: "placer-123", Epoch: 1 << 40, Seq: 1 << 20, Capacity: wire.Needs{CPU: 1 << 20, Mem: 1 << 45, Accel: 100}}
	for i := range 100 {
		s.Teams = append(s.Teams, NewTeamUsage(fmt.Sprintf("team-%02d", i), wire.Needs{CPU: 1 << 20, Mem: 1 << 45, Accel: 100, Slots: 10, Conns: 100}))
	}
	s.Teams = s.Teams[:47]
	s.Truncate()
	b, err := cbor.Marshal(s)
	is.NoErr(err)
	t.Logf("%d bytes for 47 teams", len(b))
	is.True(float64(len(b)*21*2)/Period.Seconds() <= 27*1024/2) // sent and received
}

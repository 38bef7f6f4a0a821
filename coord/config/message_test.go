package config

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/audit"
)

// TestAnswersFitTheBudget checks the traffic of a process that fanout others
// ask for the head in every interval: its replies must use less than half of
// the 27 KB/s that a node may spend on control traffic.
func TestAnswersFitTheBudget(t *testing.T) {
	const budget = 27 << 10 / 2 // bytes a second
	is := is.New(t)
	sum := NewSet().Sum()
	data, err := cbor.Marshal(Status{
		Name: "entry/h123", Zone: "prairie-c", Age: time.Second, DrainsAge: time.Second, Drains: []string{"h7", "worker-1234"},
		Head: Head{
			Version: 1 << 40, Digest: sum, Base: sum, Author: "operator-1",
			Publish: audit.NewID(time.Now()), Grace: time.Hour, Older: time.Hour,
		},
	})
	is.NoErr(err)
	perSecond := len(data) * fanout * int(time.Second/DefaultInterval)
	t.Logf("an answer has %d bytes, %d bytes a second", len(data), perSecond)
	is.True(perSecond < budget)
}

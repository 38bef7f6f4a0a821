package soak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A component is calm once a time has passed since the end of its last fault.
func TestCalm(t *testing.T) {
	is := is.New(t)
	var c calm
	is.True(c.atLeast(time.Hour, time.Now()))
	c.disturb(func() { is.True(!c.atLeast(0, time.Now())) })
	ended := time.Now()
	is.True(!c.atLeast(time.Second, ended))
	is.True(c.atLeast(time.Second, ended.Add(time.Second)))
}

// A version is required once it has been stored for configApplyTime.
func TestRequiredConfig(t *testing.T) {
	now := time.Now()
	hs := &harness{published: []time.Time{now, now.Add(time.Second)}}
	tests := map[string]struct {
		after time.Duration
		want  int
	}{
		"at once":     {0, 0},
		"first":       {configApplyTime, 1},
		"before next": {configApplyTime + time.Second - 1, 1},
		"both":        {configApplyTime + time.Second, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(hs.requiredConfig(now.Add(tt.after)), tt.want) })
	}
}

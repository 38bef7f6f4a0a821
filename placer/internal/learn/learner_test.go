package learn

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/wire"
)

func TestBounds(t *testing.T) {
	declared := wire.Needs{CPU: 1000, Mem: 1000, Accel: 1}
	tests := map[string]struct {
		samples   int
		cpu, mem  int64
		ran       time.Duration
		want      wire.Needs
		wantsTime time.Duration
	}{
		"too few":   {7, 100, 100, time.Hour, declared, time.Minute},
		"less":      {8, 700, 700, 30 * time.Second, wire.Needs{CPU: 700, Mem: 1000, Accel: 1}, 30 * time.Second},
		"far less":  {8, 10, 10, time.Second, wire.Needs{CPU: 500, Mem: 1000, Accel: 1}, 15 * time.Second},
		"far more":  {8, 5000, 5000, time.Hour, wire.Needs{CPU: 2000, Mem: 2000, Accel: 1}, 8 * time.Minute},
		"no sample": {0, 0, 0, 0, declared, time.Minute},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := New()
			for range tt.samples {
				l.AddUsage("t", "j", declared, wire.Needs{CPU: tt.cpu, Mem: tt.mem})
				l.AddRuntime("t", "j", time.Minute, tt.ran)
			}
			size, run := l.Size("t", "j", declared), l.Runtime("t", "j", time.Minute)
			is.True(size.CPU-tt.want.CPU <= 1 && tt.want.CPU-size.CPU <= 1)
			is.True(size.Mem-tt.want.Mem <= 1 && tt.want.Mem-size.Mem <= 1)
			is.Equal(size.Accel, int64(1))
			is.True((run - tt.wantsTime).Abs() < time.Millisecond)
			is.Equal(l.Size("t", "other", declared), declared)
		})
	}
}

func TestEviction(t *testing.T) {
	is := is.New(t)
	l := New()
	for i := range maxJobs + 10 {
		l.AddRuntime("t", time.Duration(i).String(), time.Second, time.Second)
	}
	is.Equal(len(l.jobs), maxJobs)
}

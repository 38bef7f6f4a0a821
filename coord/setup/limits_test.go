package setup

import (
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/matryer/is"
)

func TestLimitsAreChecked(t *testing.T) {
	tests := map[string]struct {
		limits Limits
		want   []string
	}{
		"default":         {DefaultLimits(), nil},
		"all cores":       {Limits{Growth: 100}, nil},
		"below zero":      {Limits{Cores: -1, Growth: 50, Memory: -1}, []string{"process.cores", "process.memory"}},
		"always collects": {Limits{Growth: 1}, []string{"process.growth"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, f := range tt.limits.Check() {
				got = append(got, f.Key)
			}
			is.New(t).Equal(got, tt.want)
		})
	}
}

func TestLimitsAreApplied(t *testing.T) {
	is := is.New(t)
	cores, growth, limit := runtime.GOMAXPROCS(0), debug.SetGCPercent(100), debug.SetMemoryLimit(-1)
	defer func() {
		runtime.GOMAXPROCS(cores)
		debug.SetGCPercent(growth)
		debug.SetMemoryLimit(limit)
	}()
	Limits{Cores: 1, Growth: 40, Memory: 64}.Apply()
	is.Equal(runtime.GOMAXPROCS(0), 1)
	is.Equal(debug.SetGCPercent(40), 40)
	is.Equal(debug.SetMemoryLimit(-1), int64(64<<20))
	Limits{Cores: 1 << 20, Growth: 40}.Apply()
	is.Equal(runtime.GOMAXPROCS(0), runtime.NumCPU())
}

package config

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/timer"
)

// TestMetricNames fails if a metric that dashboards read is renamed or isn't
// documented.
func TestMetricNames(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	NewFollower("a", "z", nil, timer.New(), WithMetrics(r))
	var names []string
	r.Each(func(name string, _ any) { names = append(names, name) })
	slices.Sort(names)
	is.Equal(names, []string{
		"config.age", "config.answered", "config.applied", "config.asks", "config.bytes", "config.corrupt", "config.failed",
		"config.old", "config.pulls", "config.reads", "config.tells", "config.unsure", "config.version",
	})
	page, err := os.ReadFile("../../docs/METRICS.md")
	is.NoErr(err)
	for _, name := range names {
		is.True(strings.Contains(string(page), "\n| "+name+" |"))
	}
}

// TestDeployments checks that the sample deployments have no faults.
func TestDeployments(t *testing.T) {
	for _, name := range []string{"trilha.toml", "prairie.toml"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile("../../deploy/" + name)
			is.NoErr(err)
			s, faults := Parse(File{Name: name, Data: data})
			faults = append(faults, s.Check()...)
			is.Equal(len(faults), 0)
		})
	}
}

package oper

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// TestMetricNames detects changed metric names, which dashboards rely on, and
// metrics that docs/METRICS.md doesn't list.
func TestMetricNames(t *testing.T) {
	is := is.New(t)
	r := metrics.NewRegistry()
	newCounts(r)
	var names []string
	r.Each(func(name string, _ any) { names = append(names, name) })
	slices.Sort(names)
	is.Equal(names, []string{"oper.conflict", "oper.denied", "oper.publish", "oper.refused", "oper.requests", "oper.unknown"})
	page, err := os.ReadFile("../../../docs/METRICS.md")
	is.NoErr(err)
	for _, name := range names {
		is.True(strings.Contains(string(page), "\n| "+name+" |"))
	}
}

package main

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/platform"
)

// docs/METRICS.md lists exactly the metrics that the process registers.
func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	a, err := newApp("", &platform.Settings{Host: "h", Zone: "z", IP: "127.0.0.1", Store: "127.0.0.1:1", Adviser: "127.0.0.1:1", Ingress: "127.0.0.1:0", Ready: "127.0.0.1:0"})
	is.NoErr(err)
	var names []string
	a.registry.Each(func(name string, _ any) {
		if strings.HasPrefix(name, "node.") {
			names = append(names, name)
		}
	})
	page, err := os.ReadFile("../docs/METRICS.md")
	is.NoErr(err)
	var listed []string
	for line := range strings.Lines(string(page)) {
		if !strings.HasPrefix(line, "| node.") {
			continue
		}
		cell, _, _ := strings.Cut(strings.TrimPrefix(line, "| "), " |")
		listed = append(listed, strings.Split(cell, ", ")...)
	}
	slices.Sort(names)
	slices.Sort(listed)
	is.Equal(listed, names)
}

package config

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/platform"
)

// evacuationRow returns a row of the operators' table.
func evacuationRow(key, value string, version int64) platform.Row {
	return platform.Row{Key: key, Value: []byte(value), Version: version}
}

// A row that can't be read, of whatever writer, must neither end an evacuation in force nor
// hide the other rows, and only the deletion of its row ends an evacuation. That holds for
// changes and when the history is lost and the whole table is read again.
func TestUnreadableRowEndsEvacuation(t *testing.T) {
	y := evacuationRow("evacuate/y", "{}", 1)
	deleted := func(key string) platform.Row { return platform.Row{Key: key, Deleted: true, Version: 9} }
	tests := map[string]struct {
		changed  []platform.Row // after y was written
		read     []platform.Row // the same, as read at once
		want     []string
		rejected int64
	}{
		"another zone":         {[]platform.Row{evacuationRow("evacuate/b", "{}", 2)}, []platform.Row{evacuationRow("evacuate/b", "{}", 2), y}, []string{"b", "y"}, 0},
		"deleted":              {[]platform.Row{deleted("evacuate/y")}, nil, nil, 0},
		"written again":        {[]platform.Row{deleted("evacuate/y"), evacuationRow("evacuate/y", "{}", 10)}, []platform.Row{evacuationRow("evacuate/y", "{}", 10)}, []string{"y"}, 0},
		"replaced, unreadable": {[]platform.Row{evacuationRow("evacuate/y", "{", 3)}, []platform.Row{evacuationRow("evacuate/y", "{", 3)}, []string{"y"}, 1},
		"new, unreadable":      {[]platform.Row{evacuationRow("evacuate/b", "[]", 4)}, []platform.Row{evacuationRow("evacuate/b", "[]", 4), y}, []string{"y"}, 1},
		"repeated, unreadable": {[]platform.Row{evacuationRow("evacuate/b", "", 4), evacuationRow("evacuate/b", "", 4)}, []platform.Row{evacuationRow("evacuate/b", "", 4), y}, []string{"y"}, 1},
		"without zone":         {[]platform.Row{evacuationRow("evacuate/", "{}", 4)}, []platform.Row{evacuationRow("evacuate/", "{}", 4), y}, []string{"y"}, 1},
		"named partition":      {[]platform.Row{{Part: "p", Key: "evacuate/b", Value: []byte("{}"), Version: 4}}, []platform.Row{y}, []string{"y"}, 1},
		"deleted elsewhere":    {[]platform.Row{{Part: "p", Key: "evacuate/y", Deleted: true}}, []platform.Row{y}, []string{"y"}, 0},
		"another writer":       {[]platform.Row{evacuationRow("evacuated", "?", 4), configRow(6)}, []platform.Row{evacuationRow("evacuated", "?", 4), configRow(6), y}, []string{"y"}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := metrics.NewRegistry()
			c := New(zap.NewNop(), WithRegistry(r))
			is.Equal(len(c.Evacuations()), 0)
			c.Reset([]platform.Row{y})
			is.Equal(c.Evacuations(), []string{"y"})
			c.Change(tt.changed)
			is.Equal(c.Evacuations(), tt.want)
			c.Reset(tt.read)
			is.Equal(c.Evacuations(), tt.want)
			is.Equal(metrics.GetOrRegisterCounter("node.config.rejected", r).Count(), tt.rejected) // Once a row.
			is.Equal(r.Get("node.config.evacuations").(metrics.Gauge).Value(), int64(len(tt.want)))
		})
	}
}

package config

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/platform"
	"github.com/balsamford/balsamford/platform/fake"
)

// configRow returns the row that stores a version of the configuration.
func configRow(version int) platform.Row {
	return platform.Row{Key: platform.ConfigKey, Value: fake.ConfigOf(version, fake.Key)}
}

// A configuration in force is replaced by higher versions only, whatever the order and the
// kind of the other rows, also when the table is read anew.
func TestConfigurationGoesBack(t *testing.T) {
	tests := map[string]struct {
		rows []platform.Row
		want int64
	}{
		"newer":         {[]platform.Row{configRow(6)}, 6},
		"older":         {[]platform.Row{configRow(4)}, 5},
		"out of order":  {[]platform.Row{configRow(9), configRow(7)}, 9},
		"deleted":       {[]platform.Row{{Key: platform.ConfigKey, Deleted: true}}, 5},
		"none":          {nil, 5},
		"not decodable": {[]platform.Row{{Key: platform.ConfigKey, Value: []byte("{")}, configRow(8)}, 8},
		"another key":   {[]platform.Row{{Key: "other", Value: fake.ConfigOf(9, fake.Key)}}, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			changed, reset := New(zap.NewNop()), New(zap.NewNop())
			for _, c := range []*Current{changed, reset} {
				is.True(c.Config() == nil)
				c.Reset([]platform.Row{configRow(5)})
			}
			changed.Change(tt.rows)
			reset.Reset(tt.rows)
			is.Equal(changed.Config().Version, tt.want)
			is.Equal(reset.Config().Version, tt.want)
		})
	}
}

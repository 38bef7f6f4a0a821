package conf

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/setup"
)

func TestHistoryIsBounded(t *testing.T) {
	tests := map[string]struct {
		history time.Duration
		ok      bool
	}{
		"default":   {time.Duration(Default().History), true},
		"shortest":  {10 * time.Minute, true},
		"too short": {10*time.Minute - time.Second, false},
		"none":      {0, false},
		"longest":   {720 * time.Hour, true},
		"too long":  {721 * time.Hour, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := Default()
			s.History = setup.Duration(tt.history)
			ok := true
			for _, f := range s.Check() {
				ok = ok && f.Key != "history"
			}
			is.New(t).Equal(ok, tt.ok)
		})
	}
}

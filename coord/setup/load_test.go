package setup

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

type sample struct {
	Zone string `toml:"zone"`
	Link struct {
		Listen string   `toml:"listen"`
		Idle   Duration `toml:"idle"`
	} `toml:"link"`
}

func (s *sample) Check() []Fault {
	return append(Required("zone", s.Zone), Address("link.listen", s.Link.Listen)...)
}

func TestParse(t *testing.T) {
	tests := map[string]struct {
		text string
		want []Fault
	}{
		"good": {text: "zone = \"a\"\n[link]\nlisten = \"127.0.0.1:1\"\nidle = \"2s\"\n"},
		"unknown key": {
			text: "zone = \"a\"\n[link]\nlisten = \"127.0.0.1:1\"\nport = 3\n",
			want: []Fault{{Key: "link.port", Line: 4, Text: "unknown key; remove it or correct its spelling"}},
		},
		"all faults at once": {
			text: "[link]\nlisten = \"localhost:1\"\n",
			want: []Fault{
				{Key: "zone", Text: "missing; give it a value"},
				{Key: "link.listen", Line: 2, Text: `"localhost:1" is not an IP number with a port; write it like "127.0.0.1:7000"`},
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s sample
			err := Parse("a.toml", []byte(tt.text), &s)
			if tt.want == nil {
				is.NoErr(err)
				is.Equal(time.Duration(s.Link.Idle), 2*time.Second)
				return
			}
			var invalid *InvalidError
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Faults, tt.want)
		})
	}
}

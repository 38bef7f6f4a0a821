package model

import (
	"testing"

	"github.com/matryer/is"
)

// A job belongs to the queue that accepted it, also once that queue has another name or
// another address.
func TestQueueOwns(t *testing.T) {
	queue := Queue{Name: "a", Host: "h", Prefix: "/p/"}
	tests := map[string]struct {
		name, host, prefix string
		owns               bool
	}{
		"same":                        {name: "a", host: "h", prefix: "/p/", owns: true},
		"renamed":                     {name: "b", host: "h", prefix: "/p/", owns: true},
		"moved":                       {name: "a", host: "h", prefix: "/q/", owns: true},
		"another queue":               {name: "b", host: "h", prefix: "/q/"},
		"another host":                {name: "b", host: "g", prefix: "/p/"},
		"no address stored":           {name: "a", owns: true},
		"no address stored, other":    {name: "b"},
		"no address, host of another": {name: "b", host: "h"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(queue.Owns(tt.name, tt.host, tt.prefix), tt.owns)
		})
	}
}

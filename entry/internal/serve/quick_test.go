package serve

import (
	"bytes"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/wire"
)

func TestQuick(t *testing.T) {
	c := newCell(t)
	large := bytes.Repeat([]byte("0123456789abcdef"), 256<<10/16*12)
	tests := map[string]struct {
		script script
		fields string
		code   int
		answer []byte
	}{
		"small answer":        {script: script{answer: []byte("fine")}, code: 200, answer: []byte("fine")},
		"empty answer":        {code: 200, answer: []byte{}},
		"large answer":        {script: script{answer: large}, code: 200, answer: large},
		"idempotent":          {script: script{answer: []byte("x")}, fields: `,"idempotent":true`, code: 200, answer: []byte("x")},
		"own id":              {script: script{answer: []byte("y")}, fields: `,"id":"order-1"`, code: 200, answer: []byte("y")},
		"large with own id":   {script: script{answer: large}, fields: `,"id":"order-2"`, code: 200, answer: large},
		"foreign events":      {script: script{answer: []byte("mine"), foreign: true}, code: 200, answer: []byte("mine")},
		"doubled answer":      {script: script{answer: []byte("once"), duplicate: true}, code: 200, answer: []byte("once")},
		"failed":              {script: script{failed: true}, code: 424},
		"fits nowhere":        {script: script{refuse: wire.ReasonNever}, code: 422},
		"over the limit":      {script: script{refuse: wire.ReasonLimit}, code: 429},
		"lost after the send": {script: script{loseAfterSent: true}, code: 500},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.setScripts(tt.script)
			for _, entry := range []string{"a1", "b2"} {
				g := c.submit(entry, tt.fields)
				is.Equal(g.code, tt.code)
				if tt.answer != nil {
					is.True(g.whole)
					is.Equal(g.outcome, wire.Done)
					is.True(bytes.Equal(g.body, tt.answer))
				}
				if name == "large with own id" {
					break // The second submission gets no answer, see TestRetry.
				}
			}
		})
	}
}

func TestRefusals(t *testing.T) {
	c := newCell(t)
	tests := map[string]struct {
		key, body string
		code      int
		outcome   wire.Outcome
	}{
		"no key":              {body: `{"queue":"shop","kind":"quick"}`, code: 401, outcome: wire.NotRun},
		"unknown key":         {key: "k9", body: `{"queue":"shop","kind":"quick"}`, code: 401, outcome: wire.NotRun},
		"unknown queue":       {key: "k1", body: `{"queue":"none","kind":"quick"}`, code: 403, outcome: wire.NotRun},
		"unknown key with id": {key: "k9", body: `{"queue":"shop","kind":"quick","id":"x"}`, code: 401, outcome: wire.Unknown},
		"no JSON":             {key: "k1", body: `{`, code: 400, outcome: wire.NotRun},
		"no kind":             {key: "k1", body: `{"queue":"shop"}`, code: 400, outcome: wire.NotRun},
		"bad id":              {key: "k1", body: `{"queue":"shop","kind":"quick","id":"a b"}`, code: 400, outcome: wire.Unknown},
		"open queue":          {body: `{"queue":"open","kind":"quick"}`, code: 200, outcome: wire.Done},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := c.do("a1", http.MethodPost, "/v1/requests", tt.key, tt.body)
			is.Equal(g.code, tt.code)
			is.Equal(g.outcome, tt.outcome)
		})
	}
}

package meter

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

func TestReady(t *testing.T) {
	tests := map[string]struct {
		reason string
		detail []string
		code   int
		body   string
	}{
		"ready":                {code: 200, body: "ready\n"},
		"ready with detail":    {detail: []string{"a", "b"}, code: 200, body: "ready\na\nb\n"},
		"unready with details": {reason: "leaving", detail: []string{"a"}, code: 503, body: "leaving\na\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(metrics.NewRegistry(), func() string { return tt.reason }, WithDetail(func() []string { return tt.detail }))
			var ctx fasthttp.RequestCtx
			ctx.Request.SetRequestURI("/ready")
			s.handle(&ctx)
			is.Equal(ctx.Response.StatusCode(), tt.code)
			is.Equal(string(ctx.Response.Body()), tt.body)
		})
	}
}

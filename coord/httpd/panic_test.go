package httpd

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A request that makes the handler panic gets an answer that doesn't say that it hasn't run.
// The server goes on.
func TestPanicOfHandlerFailsOneRequest(t *testing.T) {
	is := is.New(t)
	ts := newTestServer(t, DefaultLimits(), func(x *Exchange) {
		if string(x.Request().URI().Path()) == "/panic" {
			panic("malformed request")
		}
		x.Answer(http.StatusOK, "text/plain", []byte("fine"))
	})
	for range 3 {
		resp, err := http.Get("http://" + ts.address + "/panic")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusInternalServerError)
		body := new(strings.Builder)
		_, err = io.Copy(body, resp.Body)
		is.NoErr(resp.Body.Close())
		is.NoErr(err)
		is.True(strings.Contains(body.String(), `"unknown"`))
		resp, err = http.Get("http://" + ts.address + "/")
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.NoErr(resp.Body.Close())
	}
	is.Equal(ts.server.Active(), 0)
}

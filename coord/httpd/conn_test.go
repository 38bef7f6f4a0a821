package httpd

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRequestInPieces(t *testing.T) {
	for name, size := range map[string]int{"byte by byte": 1, "in threes": 3, "in one": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ts := newTestServer(t, DefaultLimits(), echo)
			c := ts.dial()
			text := post("/a", "first") + post("/b", "") + post("/c", "third")
			for len(text) > 0 {
				n := min(size, len(text))
				_, err := c.Write([]byte(text[:n]))
				is.NoErr(err)
				text = text[n:]
			}
			in := bufio.NewReader(c)
			for _, want := range []string{"/a first", "/b ", "/c third"} {
				code, body := readResponse(t, in)
				is.Equal(code, 200)
				is.Equal(body, want)
			}
		})
	}
}

func TestPipelineKeepsOrder(t *testing.T) {
	is := is.New(t)
	ts := newTestServer(t, DefaultLimits(), func(x *Exchange) {
		if strings.HasSuffix(string(x.Request().URI().Path()), "0") {
			time.Sleep(5 * time.Millisecond)
		}
		echo(x)
	})
	c := ts.dial()
	var out bytes.Buffer
	for i := range 100 {
		out.WriteString(post("/"+strconv.Itoa(i), "b"))
	}
	_, err := c.Write(out.Bytes())
	is.NoErr(err)
	in := bufio.NewReader(c)
	for i := range 100 {
		_, body := readResponse(t, in)
		is.Equal(body, "/"+strconv.Itoa(i)+" b")
	}
}

// TestPipelineIsBounded sends far more than the limit while the first request is
// being served. The requests within the limit must be served in order; then the
// connection must be closed.
func TestPipelineIsBounded(t *testing.T) {
	is := is.New(t)
	limits := DefaultLimits()
	limits.Header, limits.Body = 1<<10, 1<<10
	unblock := make(chan struct{})
	ts := newTestServer(t, limits, func(x *Exchange) {
		<-unblock
		echo(x)
	})
	c := ts.dial()
	for i := range 1000 {
		if _, err := c.Write([]byte(post("/"+strconv.Itoa(i), strings.Repeat("b", 500)))); err != nil {
			break
		}
	}
	time.Sleep(100 * time.Millisecond)
	close(unblock)
	in := bufio.NewReader(c)
	n := 0
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			break
		}
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.True(strings.HasPrefix(string(body), "/"+strconv.Itoa(n)+" "))
		n++
	}
	is.True(n >= 1)
	is.True(n < 10)
}

func TestRefused(t *testing.T) {
	limits := DefaultLimits()
	limits.Header, limits.Body = 512, 100
	tests := map[string]struct {
		text string
		code int
	}{
		"long header":     {text: "GET /" + strings.Repeat("x", 1000) + " HTTP/1.1\r\n", code: 431},
		"long body":       {text: post("/", strings.Repeat("x", 101)), code: 413},
		"chunked body":    {text: "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", code: 411},
		"both lengths":    {text: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc", code: 411},
		"two lengths":     {text: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde", code: 400},
		"negative length": {text: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\n", code: 400},
		"old HTTP":        {text: "GET / HTTP/1.0\r\n\r\n", code: 400},
		"no HTTP":         {text: "\x16\x03\x01\x02\x00\r\n\r\n", code: 400},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			served := false
			ts := newTestServer(t, limits, func(x *Exchange) { served = true; echo(x) })
			c := ts.dial()
			_, err := c.Write([]byte(tt.text))
			is.NoErr(err)
			in := bufio.NewReader(c)
			code, _ := readResponse(t, in)
			is.Equal(code, tt.code)
			_, err = in.ReadByte()
			is.Equal(err, io.EOF) // The server has closed the connection.
			is.True(!served)
		})
	}
}

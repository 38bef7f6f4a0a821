package httpd

import (
	"bytes"
	"encoding/json"

	"github.com/valyala/fasthttp"
)

const (
	headerEnd         = "\r\n\r\n"
	statusUnavailable = fasthttp.StatusServiceUnavailable
)

// Refusal is the JSON body of the response to a request that the server
// refused.
type Refusal struct {
	Outcome string `json:"outcome"` // always "notrun": the handler wasn't called or gave no response
	Reason  string `json:"reason"`  // busy, size, invalid or error
	Detail  string `json:"detail"`  // text for people
}

func refusalBody(reason, text string) []byte { return outcomeBody("notrun", reason, text) }

func outcomeBody(outcome, reason, text string) []byte {
	body, err := json.Marshal(Refusal{Outcome: outcome, Reason: reason, Detail: text})
	if err != nil {
		return nil
	}
	return append(body, '\n')
}

// refusal returns the bytes of an error response with "Connection: close".
func refusal(code int, reason, text string) []byte {
	var resp fasthttp.Response
	resp.SetStatusCode(code)
	resp.SetConnectionClose()
	resp.Header.SetContentType("application/json")
	resp.SetBodyRaw(refusalBody(reason, text))
	var out bytes.Buffer
	_, _ = resp.WriteTo(&out)
	return out.Bytes()
}

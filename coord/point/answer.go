package point

import (
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// Answer is the streamed answer of an executor. It is complete only once Read
// has returned io.EOF; until then it may still turn out to be truncated. It must
// not be used concurrently.
type Answer struct {
	endpoint string
	id       string
	attempt  uint32
	epoch    uint64
	size     int64  // bytes, from the header
	wantSum  uint64 // xxhash64 from the header
	received int64  // bytes
	sum      *xxhash.Digest
	res      *fasthttp.Response
	body     io.Reader
	watch    watch
	ctx      context.Context
	err      error
}

func newAnswer(ctx context.Context, c *Client, address string, in Start, res *fasthttp.Response) (*Answer, error) {
	a := &Answer{endpoint: address, res: res, sum: xxhash.New(), ctx: ctx}
	if err := a.readHeader(in); err != nil {
		closeResponse(res)
		return nil, &LostError{Endpoint: address, Err: err}
	}
	a.body = res.BodyStream()
	local := ""
	if res.LocalAddr() != nil {
		local = res.LocalAddr().String()
	}
	a.watch.begin(ctx, func() { c.pool.Cut(local) })
	return a, nil
}

// readHeader reads the task, size and checksum from the header. It fails if the
// answer is for another task than in.
func (a *Answer) readHeader(in Start) error {
	h := &a.res.Header
	attempt, _ := strconv.ParseUint(string(h.Peek(HeaderAttempt)), 10, 32)
	a.id, a.attempt = string(h.Peek(HeaderID)), uint32(attempt)
	if a.id != in.ID || a.attempt != in.Attempt {
		return &AnswerError{Field: "ID", Want: taskName(in.ID, in.Attempt), Got: taskName(a.id, a.attempt)}
	}
	a.epoch, _ = strconv.ParseUint(string(h.Peek(HeaderEpoch)), 10, 64)
	sum := string(h.Peek(HeaderSum))
	want, err := strconv.ParseUint(sum, 16, 64)
	if err != nil {
		return &AnswerError{Field: "sum", Want: "a hexadecimal number", Got: sum}
	}
	a.wantSum, a.size = want, int64(h.ContentLength())
	if a.size < 0 {
		return &AnswerError{Field: "size", Want: "a length", Got: "none"}
	}
	return nil
}

// ID returns the id of the task that the answer belongs to.
func (a *Answer) ID() string { return a.id }

// Attempt returns the attempt of the task that the answer belongs to.
func (a *Answer) Attempt() uint32 { return a.attempt }

// Epoch returns the epoch of the owner that started the task.
func (a *Answer) Epoch() uint64 { return a.epoch }

// Size returns the size of the complete answer in bytes.
func (a *Answer) Size() int64 { return a.size }

// Sum returns the xxhash64 of the complete answer, as sent by the endpoint.
func (a *Answer) Sum() uint64 { return a.wantSum }

// Read implements io.Reader. It returns io.EOF only after the complete answer,
// whose size and checksum match; any other error is a *LostError.
func (a *Answer) Read(p []byte) (int, error) {
	if a.err != nil {
		return 0, a.err
	}
	n, err := a.readBody(p)
	a.received += int64(n)
	_, _ = a.sum.Write(p[:n])
	if err == nil {
		return n, nil
	}
	a.watch.end()
	a.err = a.finalError(err)
	if n > 0 && errors.Is(a.err, io.EOF) {
		return n, nil
	}
	return n, a.err
}

func (a *Answer) readBody(p []byte) (int, error) {
	if a.body == nil {
		return 0, io.EOF
	}
	return a.body.Read(p)
}

// finalError returns the error that Read returns from now on, given the error of
// the body: io.EOF if the answer is complete, otherwise a *LostError.
func (a *Answer) finalError(err error) error {
	if !errors.Is(err, io.EOF) {
		if a.ctx.Err() != nil {
			err = a.ctx.Err()
		}
		return &LostError{Endpoint: a.endpoint, Err: err}
	}
	if a.received != a.size {
		return &LostError{Endpoint: a.endpoint, Err: &AnswerError{Field: "size",
			Want: strconv.FormatInt(a.size, 10), Got: strconv.FormatInt(a.received, 10)}}
	}
	if sum := a.sum.Sum64(); sum != a.wantSum {
		return &LostError{Endpoint: a.endpoint, Err: &AnswerError{Field: "sum",
			Want: strconv.FormatUint(a.wantSum, 16), Got: strconv.FormatUint(sum, 16)}}
	}
	return io.EOF
}

// Close releases the answer's resources. It always returns nil. Closing an
// answer before its end also closes the connection.
func (a *Answer) Close() error {
	if a.res == nil {
		return nil
	}
	a.watch.end()
	closeResponse(a.res)
	a.res = nil
	if a.err == nil {
		a.err = &LostError{Endpoint: a.endpoint, Err: io.ErrClosedPipe}
	}
	return nil
}

func taskName(id string, attempt uint32) string {
	return id + "#" + strconv.FormatUint(uint64(attempt), 10)
}

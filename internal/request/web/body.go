package web

import (
	"bytes"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Body returns the whole body of a request, or an error if it has more than
// limit bytes. With fasthttp.Server.StreamRequestBody it reads no more than
// that, and a body that is announced to be larger is not read at all; the
// connection is then closed, since its rest would have to be skipped.
//
// The returned bytes do not share memory with the request: a call to another
// process that is given up may read them after the server has reused its buffer.
func Body(ctx *fasthttp.RequestCtx, limit int64) ([]byte, *api.Error) {
	b, fail := readBody(ctx, limit)
	if fail != nil {
		Abandon(ctx)
	}
	return b, fail
}

func readBody(ctx *fasthttp.RequestCtx, limit int64) ([]byte, *api.Error) {
	if !ctx.Request.IsBodyStream() {
		if n := len(ctx.PostBody()); int64(n) > limit {
			return nil, Refuse(api.TooLarge, "the body has %d bytes, %d are allowed", n, limit)
		}
		return bytes.Clone(ctx.PostBody()), nil
	}
	length := int64(ctx.Request.Header.ContentLength())
	if length > limit {
		return nil, Refuse(api.TooLarge, "the body has %d bytes, %d are allowed", length, limit)
	}
	var b bytes.Buffer
	if length > 0 {
		b.Grow(int(length) + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(ctx.RequestBodyStream(), limit+1))
	switch {
	case err != nil || length >= 0 && n != length:
		return nil, Refuse(api.Malformed, "the body broke off after %d bytes", n)
	case n > limit:
		return nil, Refuse(api.TooLarge, "the body has more than the %d bytes that are allowed", limit)
	}
	return b.Bytes(), nil
}

// Abandon closes the connection after the answer if the body may not have been
// read.
func Abandon(ctx *fasthttp.RequestCtx) {
	if ctx.Request.IsBodyStream() {
		ctx.SetConnectionClose()
	}
}

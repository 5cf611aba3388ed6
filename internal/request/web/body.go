package web

import (
	"bytes"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Body returns the complete body of a request, or an error if it has more than
// limit bytes. With fasthttp.Server.StreamRequestBody it reads at most one byte
// more than that, and does not read a body whose declared length is too large.
// In that mode an error closes the connection, since the rest of the body would
// otherwise have to be skipped.
//
// The returned bytes do not share memory with the request. A call to another
// process that was abandoned may still read them after the server has reused its
// buffer.
func Body(ctx *fasthttp.RequestCtx, limit int64) ([]byte, *api.Error) {
	b, fail := readBody(ctx, limit)
	if fail != nil {
		CloseIfUnread(ctx)
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

// CloseIfUnread closes the connection after the answer if the body is a stream,
// since it may not have been read completely.
func CloseIfUnread(ctx *fasthttp.RequestCtx) {
	if ctx.Request.IsBodyStream() {
		ctx.SetConnectionClose()
	}
}

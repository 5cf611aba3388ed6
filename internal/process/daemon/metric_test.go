package daemon

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/internal/process/metric"
	"github.com/rosemaryloft/rosemaryloft/internal/request/web"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Guards against an answer of a runner that is counted as a refusal by the system
// because its body looks like one, and vice versa.
func TestCounted(t *testing.T) {
	is := is.New(t)
	m := metric.New()
	for _, handler := range []fasthttp.RequestHandler{
		func(ctx *fasthttp.RequestCtx) { web.JSON(ctx, 201, api.Job{}) },
		func(ctx *fasthttp.RequestCtx) { web.Fail(ctx, web.Refuse(api.Limited, "no")) },
		func(ctx *fasthttp.RequestCtx) { web.Fail(ctx, web.OutcomeUnknown(api.BadAnswer, "cut")) },
		func(ctx *fasthttp.RequestCtx) {
			web.Fail(ctx, web.Refuse(api.Overloaded, "from a runner"))
			ctx.Response.Header.Set(api.RequestHeader, "1")
		},
		func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(404) },
	} {
		var ctx fasthttp.RequestCtx
		countingAdapter{prefixAdapter{handler, nil}, "callers", m}.Handler(&ctx)
	}
	var v struct{ Requests, Refusals map[string]int }
	is.NoErr(json.Unmarshal([]byte(m.String()), &v))
	is.Equal(v.Requests, map[string]int{"callers.2xx": 1, "callers.4xx": 1, "callers.5xx": 1, "callers.ran_no": 1, "callers.ran_unknown": 1})
	is.Equal(v.Refusals, map[string]int{"callers.limited": 1, "callers.bad_answer": 1})
}

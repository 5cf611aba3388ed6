// Package standin implements fakes of external systems for tests and trials: a
// runner of a service, and workers whose tasks are timers.
//
// # Usage
//
//	runner, err := standin.NewRunner(standin.RunnerOptions{
//		Name: "counter-1", Entry: "counter", Zone: "nord", Key: secret, Entries: entries, Slots: 8, Connections: 64,
//	})
//	go runner.Run(ctx)
//	worker := standin.NewWorker(standin.WorkerOptions{Name: "vm-1", Zone: "nord", Rack: "r1", Key: secret, Entries: entries})
//	go worker.Run(ctx)
//
// Both send announcements or polls to the entry VMs in turn, with a random boot
// number chosen at their start, and leave when their context is done.
package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// Client sends JSON requests to the entry VMs in turn. It does not retry and is safe
// for concurrent use.
type Client struct {
	entries []string // host:port
	key     string
	next    atomic.Uint64
	http    fasthttp.Client
}

// NewClient returns a Client. If dial is nil, it connects over TCP with a timeout of
// one second.
func NewClient(entries []string, key string, dial fasthttp.DialFunc) *Client {
	c := &Client{entries: entries, key: key}
	c.next.Store(rand.Uint64N(uint64(max(1, len(entries)))))
	c.http = fasthttp.Client{
		Name: "standin", Dial: dial, MaxConnsPerHost: 1 << 16, MaxIdleConnDuration: 10 * time.Second,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	if dial == nil {
		c.http.Dial = func(address string) (net.Conn, error) { return fasthttp.DialTimeout(address, time.Second) }
	}
	return c
}

// Post sends body to path at the next entry VM and decodes the response into into. It
// returns an *api.Error if the entry VM refused the request.
func (c *Client) Post(path string, body, into any, timeout time.Duration) error {
	if len(c.entries) == 0 {
		return errors.New("standin: no entry VMs configured")
	}
	b, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	entry := c.entries[c.next.Add(1)%uint64(len(c.entries))]
	request.SetRequestURI("http://" + entry + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	request.SetBodyRaw(b)
	if err := c.http.DoTimeout(request, response, timeout); err != nil {
		return errors.Wrapf(err, "%s at %s", path, entry)
	}
	if status := response.StatusCode(); status >= fasthttp.StatusBadRequest {
		fail := &api.Error{}
		if err := json.Unmarshal(response.Body(), fail); err != nil {
			return errors.Newf("%s at %s: status %d", path, entry, status)
		}
		fail.Status = status
		return fail
	}
	return json.Unmarshal(response.Body(), into)
}

// newBoot returns a random boot number other than zero.
func newBoot() uint64 {
	for {
		if b := rand.Uint64(); b != 0 {
			return b
		}
	}
}

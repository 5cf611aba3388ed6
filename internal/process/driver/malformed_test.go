package driver

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/dispatch"
	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against an outcome of another version of the program that counts as proof that an
// order was not carried out.
func TestUnknownResultProvesNothing(t *testing.T) {
	is := is.New(t)
	for _, result := range []dispatch.Result{0, dispatch.Undelivered + 1, 255} {
		r := reply{Result: result}
		_, a := r.answer()
		is.Equal(a.Result, dispatch.Unanswered)
	}
}

// ignorer is an Upstream that answers nothing.
type ignorer struct{}

func (ignorer) Start(dispatch.Permit, *job.Worker, dispatch.StartOrder) dispatch.Answer {
	return dispatch.Answer{Result: dispatch.Unanswered}
}

func (ignorer) Stop(dispatch.Permit, *job.Worker, dispatch.StopOrder) dispatch.Answer {
	return dispatch.Answer{Result: dispatch.Unanswered}
}

func (ignorer) List(dispatch.Permit, *job.Worker, dispatch.ListOrder) (dispatch.Listing, dispatch.Answer) {
	return dispatch.Listing{}, dispatch.Answer{Result: dispatch.Unanswered}
}

func (ignorer) Throttle(dispatch.Permit, *job.Worker, dispatch.ThrottleOrder) dispatch.Answer {
	return dispatch.Answer{Result: dispatch.Unanswered}
}

func (ignorer) Forget(*job.Worker) {}

// Fuzzes the messages between a leader and its drivers: neither may end the process.
func FuzzMessages(f *testing.F) {
	network := newFakeNetwork()
	NewServer(ServerOptions{Upstream: ignorer{}, Peer: endpoint{network, "d"}}).Register(endpoint{network, "d"})
	fleet := NewFleet(FleetOptions{})
	fleet.drivers["d"] = &remote{name: "d", flight: map[uint64]*flight{7: {answer: make(chan reply, 1), late: func(dispatch.Answer) {}, known: map[int]bool{}}}}
	fleet.Register(endpoint{network, "me"})
	handlers := []peer.Handler{network.handlers["d"][MethodDrive], network.handlers["me"][MethodDriven]}
	for _, m := range []any{
		batch{Session: 1, Orders: []order{{Number: 1, Kind: start, Address: "10.0.0.1:80"}, {Kind: 99, Timeout: -1, Address: "x"}}},
		replies{Session: fleet.session, Replies: []reply{{Number: 7, Result: 99, Listing: &dispatch.Listing{}}, {Number: 7, Late: 1}}}, 7, "x", nil, []any{1, []any{nil}},
	} {
		body, err := codec.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		for i := range handlers {
			f.Add(uint8(i), body)
		}
	}
	f.Fuzz(func(t *testing.T, method uint8, body []byte) {
		_, err := handlers[int(method)%len(handlers)](context.Background(), "d", func(into any) error { return codec.DecodeMessage(body, into) })
		if remote, ok := err.(*peer.RemoteError); err != nil && (!ok || remote.Code != peer.CodeMalformed) {
			t.Errorf("%v", err)
		}
	})
}

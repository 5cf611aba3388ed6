// Package roundtrip sends random values between two processes of a cell and compares what arrives, for
// tests of the messages of other packages.
//
// # Usage
//
//	roundtrip.Check(t, cell.Call{}, cell.Verdict{})
package roundtrip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/plain"
	"github.com/rosemaryloft/rosemaryloft/internal/version/codec/codectest"
)

const (
	// values is the number of random values of each type.
	values = 60
	// timeout bounds each call.
	timeout = 10 * time.Second
	here    = "127.0.78.1"
	there   = "127.0.78.2"
)

// Check sends random values of the types of the samples to another process, to this one, and as
// one-way messages. Each must arrive as it was, and come back so.
func Check(t testing.TB, samples ...any) {
	t.Helper()
	port := freePort(t)
	sender, receiver := plain.New(plain.Options{Name: here, Port: port}), plain.New(plain.Options{Name: there, Port: port})
	arrived := make(chan any, 1)
	for _, s := range samples {
		handle(receiver, s, arrived)
		handle(sender, s, arrived)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	for _, n := range []*plain.Node{sender, receiver} {
		go func() { ended <- n.Run(ctx) }()
	}
	defer func() {
		cancel()
		for range 2 {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
	}()
	awaitListener(t, netip.AddrPortFrom(netip.MustParseAddr(there), port))
	for i, s := range samples {
		check(t, sender, s, rand.New(rand.NewPCG(uint64(i), 52)), arrived)
	}
}

// method returns the method under which values of a type are sent.
func method(sample any) string { return reflect.TypeOf(sample).String() }

// handle has a process return what it receives of the type of a sample.
func handle(n *plain.Node, sample any, arrived chan any) {
	n.Handle(method(sample), func(_ context.Context, _ string, decode peer.Decode) (any, error) {
		v := reflect.New(reflect.TypeOf(sample))
		if err := decode(v.Interface()); err != nil {
			return nil, err
		}
		arrived <- v.Elem().Interface()
		return v.Elem().Interface(), nil
	})
}

func check(t testing.TB, sender *plain.Node, sample any, random *rand.Rand, arrived chan any) {
	t.Helper()
	for range values {
		sent, answer := reflect.New(reflect.TypeOf(sample)), reflect.New(reflect.TypeOf(sample))
		codectest.Fill(random, sent.Interface())
		want := sent.Elem().Interface()
		for _, to := range []string{there, here} {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			err := sender.Call(ctx, to, method(sample), want, answer.Interface())
			cancel()
			if err != nil {
				t.Fatalf("%s to %s: %v\n%#v", method(sample), to, err, want)
			}
			report(t, sample, "on its way to "+to, want, <-arrived)
			report(t, sample, "on its way back from "+to, want, answer.Elem().Interface())
		}
		sender.Send(there, method(sample), want)
		select {
		case got := <-arrived:
			report(t, sample, "as a one-way message", want, got)
		case <-time.After(timeout):
			t.Fatalf("%s does not arrive as a one-way message", method(sample))
		}
	}
}

func report(t testing.TB, sample any, where string, want, got any) {
	t.Helper()
	if d := codectest.Compare(want, got); d != "" {
		t.Fatalf("%s %s: %s", method(sample), where, d)
	}
}

func freePort(t testing.TB) uint16 {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(there), 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	a, _ := l.Addr().(*net.TCPAddr)
	return a.AddrPort().Port()
}

// awaitListener waits until a process accepts connections.
func awaitListener(t testing.TB, address netip.AddrPort) {
	t.Helper()
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(time.Millisecond) {
		if c, err := net.DialTCP("tcp4", nil, net.TCPAddrFromAddrPort(address)); err == nil {
			_ = c.Close()
			return
		}
	}
	t.Fatalf("%s accepts no connections", address)
}

package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/quic-go/quic-go/testutils/simnet"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/rosemaryloft/rosemaryloft/internal/process/certificate"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// relay passes packets between the processes of a test, unless it is cut. A
// cut is silent: neither side gets an error.
type relay struct {
	simnet.PerfectRouter
	cut  atomic.Bool
	lose atomic.Pointer[func() bool] // whether a packet is lost; nil means never
}

func (r *relay) SendPacket(p simnet.Packet) error {
	if lose := r.lose.Load(); r.cut.Load() || lose != nil && (*lose)() {
		return nil
	}
	_ = r.PerfectRouter.SendPacket(p) // a process that is not there is a loss
	return nil
}

// fixed is a Certificates whose bundle a test can replace.
type fixed struct {
	atomic.Pointer[certificate.Bundle]
}

func (f *fixed) Current() *certificate.Bundle { return f.Load() }

// cell is a set of processes in one synctest bubble.
type cell struct {
	t         testing.TB
	relay     *relay
	authority *certificate.Authority
	folder    string
	addresses map[string]netip.AddrPort
}

func newCell(t testing.TB, names ...string) *cell {
	a, err := certificate.Create(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	c := &cell{t: t, relay: &relay{}, authority: a, folder: t.TempDir(), addresses: map[string]netip.AddrPort{}}
	if err := a.Write(c.folder); err != nil {
		t.Fatal(err)
	}
	for i, n := range names {
		c.addresses[n] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7400)
	}
	return c
}

// bundle issues a certificate for name and loads it.
func (c *cell) bundle(name string) *certificate.Bundle {
	if err := c.authority.Issue(c.folder, name, time.Now()); err != nil {
		c.t.Fatal(err)
	}
	s, err := certificate.Load(certificate.Options{Name: name, Files: certificate.In(c.folder, name)})
	if err != nil {
		c.t.Fatal(err)
	}
	return s.Current()
}

// process is a running Peer.
type process struct {
	*Peer
	certificates *fixed
	log          *observer.ObservedLogs
	stop         func()
}

// start runs the process called name with the certificate of holder.
func (c *cell) start(name, holder string) *process {
	f := &fixed{}
	f.Store(c.bundle(holder))
	core, log := observer.New(zapcore.InfoLevel)
	p, err := New(Options{
		Name: name, Peers: c.addresses, Certificates: f, Log: event.New(zap.New(core)),
		Conn:   simnet.NewBlockingSimConn(net.UDPAddrFromAddrPort(c.addresses[name]), c.relay),
		Random: func() float64 { return 0.5 }, Queue: 16,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	p.Handle("echo", echo)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Run(ctx) }()
	var once sync.Once
	q := &process{Peer: p, certificates: f, log: log}
	q.stop = func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				c.t.Error(err)
			}
		})
	}
	return q
}

func (p *process) events(id event.ID) int {
	return p.log.FilterField(zap.Int("event", int(id))).Len()
}

type question struct {
	Text string
	At   time.Time
	Wait time.Duration
}

type reply struct {
	Text string
	From string
	At   time.Time
}

func echo(ctx context.Context, name string, decode Decode) (any, error) {
	var q question
	if err := decode(&q); err != nil {
		return nil, err
	}
	select {
	case <-time.After(q.Wait):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return reply{Text: q.Text, From: name, At: q.At}, nil
}

// run executes f in a bubble with the processes a and b of one cell.
func run(t *testing.T, f func(is *is.I, c *cell, a, b *process)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, "a", "b")
		a, b := c.start("a", "a"), c.start("b", "b")
		defer b.stop()
		defer a.stop()
		f(is.New(t), c, a, b)
	})
}

func within(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

// Guards against a call that loses data or precision, or gets the name wrong.
func TestCall(t *testing.T) {
	run(t, func(is *is.I, _ *cell, a, b *process) {
		ctx, cancel := within(time.Hour)
		defer cancel()
		at := time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)
		var r reply
		is.NoErr(a.Call(ctx, "b", "echo", question{Text: "x", At: at}, &r))
		is.Equal(r, reply{Text: "x", From: "a", At: at})
		is.NoErr(b.Call(ctx, "a", "echo", question{Text: "y"}, &r))
		is.Equal(r, reply{Text: "y", From: "b"})
		is.NoErr(a.Call(ctx, "a", "echo", question{Text: "z"}, &r)) // own name
		is.Equal(r.From, "a")
		large := string(make([]byte, 3<<20))
		is.NoErr(a.Call(ctx, "b", "echo", question{Text: large}, &r))
		is.Equal(len(r.Text), len(large))
	})
}

// Guards against answers that reach another call when they come late or in
// another order than the requests.
func TestCrossedAndLateAnswers(t *testing.T) {
	run(t, func(is *is.I, _ *cell, a, b *process) {
		const calls = 200
		is.NoErr(a.Call(context.Background(), "b", "echo", question{}, nil)) // connected
		var group sync.WaitGroup
		for i := range calls {
			group.Go(func() {
				// Later calls are answered earlier; every third caller gives up first.
				wait := time.Duration(calls-i) * 10 * time.Millisecond
				patience := wait + time.Second
				if i%3 == 0 {
					patience = wait / 2
				}
				ctx, cancel := within(patience)
				defer cancel()
				text := fmt.Sprint(i)
				var r reply
				err := a.Call(ctx, "b", "echo", question{Text: text, Wait: wait}, &r)
				if i%3 == 0 {
					is.True(errors.Is(err, ErrUnknown))
					is.True(errors.Is(err, context.DeadlineExceeded))
					is.Equal(r, reply{})
					return
				}
				is.NoErr(err)
				is.Equal(r.Text, text)
			})
		}
		group.Wait()
	})
}

// Guards against handlers that go on after their caller has given up, and
// against deadlines that are lost on the way.
func TestDeadlineAndCancellationReachHandler(t *testing.T) {
	run(t, func(is *is.I, _ *cell, a, b *process) {
		left := make(chan time.Duration, 1)
		ended := make(chan error, 1)
		b.Handle("wait", func(ctx context.Context, _ string, _ Decode) (any, error) {
			d, ok := ctx.Deadline()
			is.True(ok)
			left <- time.Until(d)
			<-ctx.Done()
			ended <- ctx.Err()
			return nil, ctx.Err()
		})
		ctx, cancel := within(10 * time.Second)
		result := make(chan error, 1)
		go func() { result <- a.Call(ctx, "b", "wait", nil, nil) }()
		d := <-left
		is.True(d > 9*time.Second && d <= 10*time.Second) // virtual time: only the handshake has passed
		cancel()
		err := <-result
		is.True(errors.Is(err, ErrUnknown) && errors.Is(err, context.Canceled))
		is.Equal(<-ended, context.Canceled) // by the reset, long before the deadline
	})
}

// Guards against an error that is reported as "not sent" although a handler
// may have run, and the reverse.
func TestOutcomes(t *testing.T) {
	run(t, func(is *is.I, c *cell, a, b *process) {
		ctx, cancel := within(time.Minute)
		defer cancel()
		is.True(errors.Is(a.Call(ctx, "nobody", "echo", nil, nil), ErrNotSent))
		is.True(errors.Is(a.Call(ctx, "b", "echo", question{Text: string(make([]byte, DefaultBody))}, nil), ErrNotSent))

		var r *Remote
		is.True(errors.As(a.Call(ctx, "b", "nothing", nil, nil), &r))
		is.Equal(r.Code, CodeMethod)
		is.True(errors.As(a.Call(ctx, "b", "echo", []int{1}, nil), &r))
		is.Equal(r.Code, CodeMalformed)
		b.Handle("fail", func(context.Context, string, Decode) (any, error) {
			return nil, errors.Wrap(&Remote{Code: "busy", Message: "later"}, "wrapped")
		})
		is.True(errors.As(a.Call(ctx, "b", "fail", nil, nil), &r))
		is.Equal(*r, Remote{Code: "busy", Message: "later"})

		gone, end := context.WithCancel(ctx)
		end()
		is.True(errors.Is(a.Call(gone, "b", "echo", question{}, nil), ErrNotSent))

		served := make(chan struct{})
		b.Handle("hang", func(ctx context.Context, _ string, _ Decode) (any, error) {
			close(served)
			<-ctx.Done()
			return nil, ctx.Err()
		})
		result := make(chan error, 1)
		go func() { result <- a.Call(ctx, "b", "hang", nil, nil) }()
		<-served
		b.stop()
		is.True(errors.Is(<-result, ErrUnknown)) // the handler had begun
		synctest.Wait()                          // a knows that the connection has ended

		err := a.Call(ctx, "b", "echo", question{}, nil) // waits for the failing dial
		is.True(errors.Is(err, ErrNotSent))
		begun := time.Now()
		is.True(errors.Is(a.Call(ctx, "b", "echo", question{}, nil), ErrNotSent))
		is.Equal(time.Since(begun), time.Duration(0)) // known to be down: fails at once
		synctest.Wait()
		is.Equal(a.events(event.PeerUnreachable), 1)
	})
}

// Guards against a silent cut that goes unnoticed for longer than 3 s, idle
// or with calls under way, and against a link that does not come back.
func TestSilentCut(t *testing.T) {
	for _, idle := range []bool{false, true} {
		run(t, func(is *is.I, c *cell, a, b *process) {
			ctx, cancel := within(time.Hour)
			defer cancel()
			is.NoErr(a.Call(ctx, "b", "echo", question{}, nil))
			if idle {
				time.Sleep(30 * time.Second) // only probes keep the connection
				is.Equal(a.events(event.PeerLost), 0)
			}
			c.relay.cut.Store(true)
			begun := time.Now()
			err := a.Call(ctx, "b", "echo", question{}, nil)
			is.True(errors.Is(err, ErrUnknown))
			is.True(time.Since(begun) <= 3*time.Second)
			is.True(errors.Is(a.Call(ctx, "b", "echo", question{}, nil), ErrNotSent))

			time.Sleep(time.Minute)
			noticed := b.log.FilterField(zap.Int("event", int(event.PeerLost))).All()
			is.Equal(len(noticed), 1) // b had nothing to send and noticed too
			is.True(noticed[0].Time.Sub(begun) <= 3*time.Second)
			c.relay.cut.Store(false)
			time.Sleep(dialTimeout + lastBackoff)
			is.NoErr(a.Call(ctx, "b", "echo", question{}, nil))
			is.NoErr(b.Call(ctx, "a", "echo", question{}, nil))
		})
	}
}

// Guards against two connections per pair that both stay, or that take each
// other out of use, when both sides dial at once.
func TestOneConnectionPerPair(t *testing.T) {
	run(t, func(is *is.I, c *cell, a, b *process) {
		ctx, cancel := within(time.Hour)
		defer cancel()
		var failed atomic.Int64
		for range 3 {
			for range 100 {
				if a.Call(ctx, "b", "echo", question{}, nil) != nil || b.Call(ctx, "a", "echo", question{}, nil) != nil {
					failed.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
			a.mu.RLock()
			b.mu.RLock()
			is.Equal(len(a.links), 1)
			is.Equal(len(b.links), 1)
			b.mu.RUnlock()
			a.mu.RUnlock()
		}
		is.Equal(failed.Load(), int64(0))
		is.Equal(a.events(event.PeerLost)+b.events(event.PeerLost), 0)
	})
}

// Guards against a restarted process that stays unreachable until timeouts end.
func TestRestart(t *testing.T) {
	run(t, func(is *is.I, c *cell, a, b *process) {
		ctx, cancel := within(time.Hour)
		defer cancel()
		is.NoErr(a.Call(ctx, "b", "echo", question{}, nil))
		time.Sleep(time.Minute)
		b.stop()
		time.Sleep(time.Second)
		again := c.start("b", "b")
		defer again.stop()
		time.Sleep(100 * time.Millisecond)
		is.NoErr(a.Call(ctx, "b", "echo", question{}, nil))
		is.NoErr(again.Call(ctx, "a", "echo", question{}, nil))
	})
}

// Guards against a process that takes part under a name that is not its own,
// or that the settings do not know.
func TestWrongName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCell(t, "a", "b")
		a := c.start("a", "a")
		defer a.stop()
		b := c.start("b", "intruder")
		defer b.stop()
		ctx, cancel := within(time.Hour)
		defer cancel()
		is.True(errors.Is(a.Call(ctx, "b", "echo", question{}, nil), ErrNotSent)) // wrong name behind the address
		is.True(errors.Is(b.Call(ctx, "a", "echo", question{}, nil), ErrNotSent)) // unknown name refused
		is.Equal(a.events(event.PeerRefused), 1)
		is.Equal(a.events(event.PeerConnected)+b.events(event.PeerConnected), 0)

		a.SetPeer("intruder", netip.AddrPort{}) // now expected, but not as b
		time.Sleep(time.Minute)
		is.True(errors.Is(a.Call(ctx, "b", "echo", question{}, nil), ErrNotSent))
		var r reply
		is.NoErr(b.Call(ctx, "a", "echo", question{Text: "x"}, &r))
		is.Equal(r.From, "intruder")
		a.DropPeer("intruder")
		is.True(b.Call(ctx, "a", "echo", question{}, nil) != nil)
	})
}

// Guards against calls that fail while certificates are replaced, and against
// new connections that still use the former certificate or authority.
func TestCertificatesRotate(t *testing.T) {
	run(t, func(is *is.I, c *cell, a, b *process) {
		ctx, cancel := within(time.Hour)
		defer cancel()
		is.NoErr(a.Call(ctx, "b", "echo", question{}, nil))
		result := make(chan error, 1)
		go func() { result <- a.Call(ctx, "b", "echo", question{Wait: time.Minute}, nil) }()
		synctest.Wait()

		other := newCell(t, "a", "b") // another authority altogether
		b.certificates.Store(other.bundle("b"))
		is.NoErr(<-result)                                        // the call under way
		is.NoErr(a.Call(ctx, "b", "echo", question{}, nil))       // the connection stays
		c.relay.cut.Store(true)                                   //
		time.Sleep(10 * time.Second)                              // until both sides have lost it
		c.relay.cut.Store(false)                                  //
		time.Sleep(10 * time.Second)                              // several dials
		is.True(a.Call(ctx, "b", "echo", question{}, nil) != nil) // authorities differ
		a.certificates.Store(other.bundle("a"))                   //
		time.Sleep(10 * time.Second)                              //
		is.NoErr(a.Call(ctx, "b", "echo", question{}, nil))       // both have the new one
	})
}

// Guards against a shutdown that loses answers of accepted calls, or that
// leaves callers in doubt about calls it did not accept.
func TestDrain(t *testing.T) {
	run(t, func(is *is.I, _ *cell, a, b *process) {
		ctx, cancel := within(time.Hour)
		defer cancel()
		results := make(chan error, 20)
		for range cap(results) {
			go func() {
				results <- a.Call(ctx, "b", "echo", question{Text: string(make([]byte, 1<<16)), Wait: 10 * time.Second}, nil)
			}()
		}
		time.Sleep(time.Second)
		short, end := within(time.Second)
		defer end()
		is.Equal(b.Drain(short), context.DeadlineExceeded) // calls are still under way
		is.True(errors.Is(a.Call(ctx, "b", "echo", question{}, nil), ErrNotSent))
		is.NoErr(b.Call(ctx, "a", "echo", question{}, nil)) // own calls go on
		is.NoErr(b.Drain(ctx))
		b.stop()
		for range cap(results) {
			is.NoErr(<-results)
		}
	})
}

// Guards against a Send that blocks, loses order, or mixes up messages.
func TestSend(t *testing.T) {
	run(t, func(is *is.I, c *cell, a, b *process) {
		var mu sync.Mutex
		var got []string
		hold := make(chan struct{})
		release := sync.OnceFunc(func() { close(hold) })
		defer release()
		b.Handle("note", func(_ context.Context, name string, decode Decode) (any, error) {
			var s string
			if err := decode(&s); err != nil {
				return nil, err
			}
			mu.Lock()
			got = append(got, name+s)
			mu.Unlock()
			if s == "hold" {
				<-hold
			}
			return nil, nil
		})
		for i := range 16 {
			a.Send("b", "note", fmt.Sprint(i))
		}
		time.Sleep(time.Second)
		mu.Lock()
		is.Equal(len(got), 16)
		for i, s := range got {
			is.Equal(s, fmt.Sprint("a", i))
		}
		mu.Unlock()

		a.Send("b", "note", "hold") // a slow handler
		large := string(make([]byte, 1<<20))
		for range 100 {
			a.Send("b", "note", large) // fills windows and the queue without blocking
		}
		a.Send("nobody", "note", "x")
		time.Sleep(time.Minute)
		reports := a.events(event.PeerDropping)
		is.True(reports >= 1 && reports <= 7) // one per dropInterval, not one per message
		release()
		time.Sleep(time.Minute)
		a.Send("b", "note", "end")
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		is.True(len(got) < 100+16)
		is.Equal(got[len(got)-1], "aend")
	})
}

// Guards against a call that fails as "not sent" although its handler ran, an
// answer of another call, and a handler that runs twice, while packets are
// lost, links are cut, callers give up and a process restarts.
func TestOutcomesUnderFaults(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newCell(t, "a", "b")
			var mu sync.Mutex
			random := rand.New(rand.NewPCG(seed, 1))
			draw := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return random.IntN(n)
			}
			lose := func() bool { return draw(10) == 0 }
			c.relay.lose.Store(&lose)
			runs := map[string]int{}
			serve := func() *process {
				b := c.start("b", "b")
				b.Handle("count", func(ctx context.Context, name string, decode Decode) (any, error) {
					var q question
					if err := decode(&q); err != nil {
						return nil, err
					}
					mu.Lock()
					runs[q.Text[:4]]++
					mu.Unlock()
					return echo(ctx, name, func(into any) error { *into.(*question) = q; return nil })
				})
				return b
			}
			a, b := c.start("a", "a"), serve()
			defer a.stop()
			outcomes := map[string]error{}
			var group sync.WaitGroup
			for i := range 300 {
				switch {
				case i%60 == 30:
					c.relay.cut.Store(true)
				case i%60 == 45:
					c.relay.cut.Store(false)
				case i == 200:
					b.stop()
					b = serve()
				}
				time.Sleep(time.Duration(draw(400)) * time.Millisecond)
				text := fmt.Sprintf("%04d%s", i, make([]byte, draw(2)*draw(200_000)))
				patience := time.Duration(1+draw(5000)) * time.Millisecond
				wait := time.Duration(draw(300)) * time.Millisecond
				group.Go(func() {
					ctx, cancel := within(patience)
					defer cancel()
					var r reply
					err := a.Call(ctx, "b", "count", question{Text: text, Wait: wait}, &r)
					mu.Lock()
					defer mu.Unlock()
					outcomes[text[:4]] = err
					if err == nil && r.Text != text {
						t.Errorf("call %s got the answer of %.4s", text[:4], r.Text)
					}
				})
			}
			group.Wait()
			c.relay.cut.Store(false)
			time.Sleep(time.Minute) // until handlers of lost calls have ended too
			b.stop()
			count := map[string]int{}
			for text, err := range outcomes {
				n := runs[text]
				switch {
				case err == nil:
					count["answered"]++
					is.Equal(n, 1)
				case errors.Is(err, ErrNotSent):
					count["not sent"]++
					is.Equal(n, 0)
				default:
					count["unknown"]++
					is.True(errors.Is(err, ErrUnknown))
					is.True(n <= 1)
				}
			}
			is.Equal(len(outcomes), 300)
			for _, kind := range []string{"answered", "not sent", "unknown"} {
				is.True(count[kind] > 0) // the faults reach each outcome
			}

		})
	}
}

// Guards against a large request that was cut in the middle and counts as
// "may have run".
func TestCutWithinRequest(t *testing.T) {
	run(t, func(is *is.I, c *cell, a, b *process) {
		ctx, cancel := within(time.Hour)
		defer cancel()
		is.NoErr(a.Call(ctx, "b", "echo", question{}, nil))
		var packets atomic.Int64
		lose := func() bool { return packets.Add(1) > 100 } // of about 3,000
		c.relay.lose.Store(&lose)
		err := a.Call(ctx, "b", "echo", question{Text: string(make([]byte, 4<<20))}, nil)
		is.True(errors.Is(err, ErrNotSent))
	})
}

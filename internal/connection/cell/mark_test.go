package cell

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
)

// Guards against a copy that a leader takes for later than it is, because a process takes
// the time of a slow answer, or its own faster clock, for the leader's.
func TestReadingIsALowerBound(t *testing.T) {
	is := is.New(t)
	l := New(Options{Name: "me"})
	began := boottime.Now()
	r := l.noteMark("a", Mark{Term: 3, Since: time.Hour})
	s := r.Stamp(r.received.Add(-time.Second), r.received.Add(3*time.Second))
	is.Equal(s.Term, uint64(3))
	is.True(s.Issued <= time.Hour-time.Second)
	is.True(s.Expires < time.Hour+3*time.Second)
	is.True(s.Expires > time.Hour+2900*time.Millisecond)
	is.True(boottime.Now().Sub(began) < time.Second)

	k := l.noteMark("a", Mark{Term: 3, Since: time.Hour - time.Second}) // its answer took a second
	is.Equal(k, r)
	k = l.noteMark("a", Mark{Term: 4, Since: time.Second})
	is.Equal(k.mark.Term, uint64(4))
	k = l.noteMark("b", Mark{Term: 4, Since: 0})
	is.Equal(k.leader, "b")
}

// leaderOf serves the methods of a leader, and keeps the stamps of the calls that arrive.
type leaderOf struct {
	mu     sync.Mutex
	term   uint64
	began  time.Time
	stamps []Stamp
}

// lead begins a term.
func (f *leaderOf) lead(term uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term, f.began = term, time.Now()
}

// latest returns the stamp of the latest call.
func (f *leaderOf) latest() Stamp {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stamps[len(f.stamps)-1]
}

func (f *leaderOf) answer(context.Context, string, peer.Decode) (any, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Leader{Name: "core", Members: []string{"core"}, Linked: []string{"one", "two"}, Mark: Mark{f.term, time.Since(f.began)}}, nil
}

func (f *leaderOf) call(_ context.Context, _ string, decode peer.Decode) (any, error) {
	return f.take(decode, &Call{})
}

func (f *leaderOf) evacuate(_ context.Context, _ string, decode peer.Decode) (any, error) {
	return f.take(decode, &Evacuation{})
}

// take records the stamp of a request and answers it.
func (f *leaderOf) take(decode peer.Decode, request interface{ Validity() *Stamp }) (any, error) {
	if err := decode(request); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stamps = append(f.stamps, *request.Validity())
	if request.Validity().Term != f.term {
		return nil, &peer.RemoteError{Code: CodeNotLeader}
	}
	return Verdict{Code: OK}, nil
}

// Guards against a call that is refused after a change of the leader's term, or that is
// relayed with the stamp of an earlier term: the process, or its relay, reads the clock
// anew.
func TestStampsFollowTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &leaderOf{term: 1, began: time.Now()}
		all, cut := map[string]map[string]peer.Handler{}, &cuts{all: map[string]bool{}}
		all["core"] = map[string]peer.Handler{MethodWho: f.answer, MethodPing: f.answer, MethodCall: f.call, MethodEvacuate: f.evacuate}
		ctx, cancel := context.WithCancel(context.Background())
		links, done := runLinks(ctx, t, all, cut, "one", "two")
		time.Sleep(time.Second)
		f.lead(2)
		_, err := links[0].Call(ctx, Call{Path: "/x"})
		is.NoErr(err)
		is.Equal(f.latest().Term, uint64(2))

		cut.add("one core")
		time.Sleep(10 * time.Second)
		f.lead(3)
		began := time.Now()
		time.Sleep(time.Second)
		short, end := context.WithTimeout(ctx, 3*time.Second)
		defer end()
		at := time.Since(began)
		_, err = links[0].Call(short, Call{Path: "/x"})
		is.NoErr(err)
		s := f.latest()
		is.Equal(s.Term, uint64(3))
		is.True(s.Issued <= at && s.Issued > at-100*time.Millisecond)
		is.True(s.Expires <= at+3*time.Second && s.Expires > at+2800*time.Millisecond)
		_, err = links[0].Evacuate(short, Evacuation{Zone: "z", Active: true, Arrived: boottime.Now().Add(-time.Second)})
		is.NoErr(err)
		s = f.latest()
		is.Equal(s.Term, uint64(3))
		is.True(s.Issued <= time.Since(began)-time.Second && s.Issued > time.Since(began)-1200*time.Millisecond)
		cancel()
		done()
	})
}

// Guards against a decoder that takes the stamp of another build for a valid one.
func TestCallsOfEarlierBuildsHaveNoStamp(t *testing.T) {
	is := is.New(t)
	body, err := cbor.Marshal(map[int]any{1: "r", 2: 1, 3: "h", 4: "/q/one"})
	is.NoErr(err)
	var c Call
	is.NoErr(cbor.Unmarshal(body, &c))
	is.Equal(c.Stamp, Stamp{})
}

package driver

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/cell"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/dispatch"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// maxHeld bounds the orders that a driver holds. It refuses further ones.
	maxHeld = 8192
	// replyTimeout bounds the delivery of a batch of answers to a leader.
	replyTimeout = 250 * time.Millisecond
	// callInterval is how often a driver whose answers were not delivered tries again
	// to call the leader.
	callInterval = time.Second
)

// ServerOptions configures a Server.
type ServerOptions struct {
	Zone     string
	Upstream dispatch.Upstream
	Peer     peer.Caller
	Log      event.Log
	// Now returns the time on a clock that counts suspensions of the VM, after which
	// the leader may be another one. It defaults to boottime.Now.
	Now func() time.Time
}

// Server sends the orders of leaders to workers.
type Server struct {
	options ServerOptions
	life    uint64    // identifies the clock of this process
	began   time.Time // on the clock of the options
	held    atomic.Int64

	mu       sync.Mutex
	sessions map[session]*outbox
}

// session identifies the orders of one life of a leader's process.
type session struct {
	leader string
	number uint64
}

// outbox collects the answers to a leader. Answers that come while a batch is under
// way leave with the next one. While the leader can call the driver but not the other
// way round, it fetches them.
type outbox struct {
	replies []reply
	sending bool
	cut     bool      // the latest call to the leader failed
	callAt  time.Time // no call before this, if cut
	dropAt  time.Time // answers that the leader has not fetched by then are dropped, if cut
}

// NewServer returns a Server.
func NewServer(options ServerOptions) *Server {
	if options.Now == nil {
		options.Now = boottime.Now
	}
	return &Server{options: options, life: rand.Uint64(), began: options.Now(), sessions: map[session]*outbox{}}
}

// mark returns the reading of this driver's clock for a leader.
func (s *Server) mark() cell.Mark {
	return cell.Mark{Term: s.life, Since: s.options.Now().Sub(s.began)}
}

// Register registers the method that drivers serve.
func (s *Server) Register(mux peer.Mux) {
	mux.Handle(MethodDrive, func(_ context.Context, name string, decode peer.Decode) (any, error) {
		var b batch
		if err := decode(&b); err != nil {
			return nil, &peer.RemoteError{Code: peer.CodeMalformed, Message: err.Error()}
		}
		received := s.options.Now()
		from := session{name, b.Session}
		for i := range b.Orders {
			s.accept(from, &b.Orders[i], received)
		}
		p := presence{Zone: s.options.Zone}
		p.Replies, p.Cut = s.fetch(from, received)
		p.Mark = s.mark()
		return p, nil
	})
}

// fetch returns the answers that the leader has to fetch, and whether it has to fetch
// any at all.
func (s *Server) fetch(from session, now time.Time) (list []reply, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.sessions[from]
	if b == nil || !b.cut {
		return nil, false
	}
	list, b.replies = b.replies, nil
	b.dropAt = now.Add(callInterval)
	if !now.Before(b.callAt) {
		s.startDelivery(from, b) // tells whether it is still cut
	}
	return list, true
}

// accept starts to carry out an order, or refuses it if too many are held.
func (s *Server) accept(from session, o *order, received time.Time) {
	if s.held.Add(1) > maxHeld {
		s.held.Add(-1)
		s.send(from, newReply(o.Number, dispatch.Answer{Result: dispatch.Undelivered}, nil))
		return
	}
	go func() {
		defer s.held.Add(-1)
		if r, ok := s.carryOut(from, o, s.deadline(o, received)); ok {
			s.send(from, r)
		}
	}()
}

// deadline returns until when an order may be sent. It may have waited unread while this
// process was paused, so its stamp counts beside the time of its arrival.
func (s *Server) deadline(o *order, received time.Time) time.Time {
	if o.Stamp.Term != s.life {
		return time.Time{} // for an earlier process
	}
	return earlier(received.Add(o.Timeout), s.began.Add(o.Stamp.Expires))
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// carryOut sends an order to its worker and returns the answer. Late ones follow.
func (s *Server) carryOut(from session, o *order, deadline time.Time) (reply, bool) {
	w, err := o.worker()
	if err != nil {
		return newReply(o.Number, dispatch.Answer{Result: dispatch.Undelivered, Error: err}, nil), true
	}
	p := dispatch.Permit{Timeout: o.Timeout, Valid: func() bool { return s.options.Now().Before(deadline) }}
	p.Single = o.Kind == start && o.Copies == 1
	if o.Kind == start && o.Wait > 0 {
		var late atomic.Int32
		p.Await, p.Late = o.Wait, func(a dispatch.Answer) {
			r := newReply(o.Number, a, nil)
			r.Late = int(late.Add(1))
			s.send(from, r)
		}
	}
	u := s.options.Upstream
	var a dispatch.Answer
	var l *dispatch.Listing
	switch o.Kind {
	case start:
		a = u.Start(p, w, dispatch.StartOrder{
			Task: o.Task, Run: o.Run, Payload: o.Payload, Lease: clock(o.Lease), Fence: o.Fence, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		})
	case stop:
		a = u.Stop(p, w, dispatch.StopOrder{Task: o.Task, Run: o.Run, Fence: o.Fence})
	case list:
		l = &dispatch.Listing{}
		*l, a = u.List(p, w, dispatch.ListOrder{Lease: clock(o.Lease), Fence: o.Fence, Acknowledged: o.Acked, Wait: o.Wait, Repeat: o.Repeat, Copies: o.Copies})
	case throttle:
		a = u.Throttle(p, w, dispatch.ThrottleOrder{Task: o.Task, Run: o.Run, Percent: o.Percent, Fence: o.Fence})
	case forget:
		u.Forget(w)
		return reply{}, false
	default: // of a later version of the program
		a = dispatch.Answer{Result: dispatch.Undelivered}
	}
	return newReply(o.Number, a, l), true
}

// send queues an answer and starts the delivery unless it is under way or the leader
// fetches the answers.
func (s *Server) send(to session, r reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.sessions[to]
	if b == nil {
		b = &outbox{}
		s.sessions[to] = b
	}
	b.replies = append(b.replies, r)
	now := s.options.Now()
	if b.cut && now.Before(b.callAt) {
		if !now.Before(b.dropAt) || len(b.replies) > maxHeld {
			b.replies = nil // the leader sends the orders again or stops their runs
		}
		return
	}
	s.startDelivery(to, b)
}

// startDelivery starts the delivery of answers unless it is under way. The caller
// holds the lock.
func (s *Server) startDelivery(to session, b *outbox) {
	if !b.sending {
		b.sending = true
		go s.deliver(to, b)
	}
}

// deliver sends the answers to a leader until there are none. If it fails, the leader
// has to fetch them.
func (s *Server) deliver(to session, b *outbox) {
	for {
		s.mu.Lock()
		var list []reply
		if !b.cut {
			list, b.replies = b.replies, nil
		}
		if len(list) == 0 && !b.cut {
			delete(s.sessions, to)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
		err := s.options.Peer.Call(ctx, to.leader, MethodDriven, replies{Session: to.number, Replies: list}, nil)
		cancel()
		if err != nil {
			s.options.Log.Emit(event.AnswersLost, zap.String("leader", to.leader), zap.Int("answers", len(list)), event.Cause(err))
			s.keep(to, b, list)
			return
		}
		s.mu.Lock()
		b.cut = false
		s.mu.Unlock()
	}
}

// keep keeps answers that were not delivered for the leader to fetch.
func (s *Server) keep(to session, b *outbox, list []reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if b.cut && !now.Before(b.dropAt) {
		delete(s.sessions, to) // the leader is gone
		return
	}
	if !b.cut {
		b.cut, b.dropAt = true, now.Add(callInterval)
	}
	b.sending, b.callAt = false, now.Add(callInterval)
	b.replies = append(list, b.replies...)
}

var _ dispatch.Upstream = limited{}

// address returns the address of a worker for a message.
func address(w *job.Worker) string { return w.Address.String() }

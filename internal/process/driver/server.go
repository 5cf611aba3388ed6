package driver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

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
)

// ServerOptions configures a Server.
type ServerOptions struct {
	Zone     string
	Upstream dispatch.Upstream
	Peer     peer.Caller
	Log      event.Log
}

// Server sends the orders of leaders to workers.
type Server struct {
	options ServerOptions
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
// way leave with the next one.
type outbox struct {
	replies []reply
	sending bool
}

// NewServer returns a Server.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, sessions: map[session]*outbox{}}
}

// Register registers the method that drivers serve.
func (s *Server) Register(mux peer.Mux) {
	mux.Handle(MethodDrive, func(_ context.Context, name string, decode peer.Decode) (any, error) {
		var b batch
		if err := decode(&b); err != nil {
			return nil, &peer.RemoteError{Code: peer.CodeMalformed, Message: err.Error()}
		}
		received := time.Now()
		for i := range b.Orders {
			s.accept(session{name, b.Session}, &b.Orders[i], received)
		}
		return presence{Zone: s.options.Zone}, nil
	})
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
		if r, ok := s.carryOut(o, received.Add(o.Timeout)); ok {
			s.send(from, r)
		}
	}()
}

// carryOut sends an order to its worker and returns the answer.
func (s *Server) carryOut(o *order, deadline time.Time) (reply, bool) {
	w, err := o.worker()
	if err != nil {
		return newReply(o.Number, dispatch.Answer{Result: dispatch.Undelivered, Error: err}, nil), true
	}
	p := dispatch.Permit{Timeout: o.Timeout, Valid: func() bool { return time.Now().Before(deadline) }}
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
		*l, a = u.List(p, w, dispatch.ListOrder{Lease: clock(o.Lease), Fence: o.Fence, Acknowledged: o.Acked, Wait: o.Wait})
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

// send queues an answer and starts the delivery unless it is under way.
func (s *Server) send(to session, r reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.sessions[to]
	if b == nil {
		b = &outbox{}
		s.sessions[to] = b
	}
	b.replies = append(b.replies, r)
	if !b.sending {
		b.sending = true
		go s.deliver(to, b)
	}
}

// deliver sends the answers to a leader until there are none. Answers that cannot
// be delivered are dropped: the leader sends the order again or stops its run.
func (s *Server) deliver(to session, b *outbox) {
	for {
		s.mu.Lock()
		list := b.replies
		b.replies = nil
		if len(list) == 0 {
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
		}
	}
}

var _ dispatch.Upstream = limited{}

// address returns the address of a worker for a message.
func address(w *job.Worker) string { return w.Address.String() }

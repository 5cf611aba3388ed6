package upstream

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// Errors of Send.
var (
	// ErrNotSent tells that no byte of the request can have reached the runner.
	ErrNotSent = errors.New("the request was not sent")
	// ErrLate tells that the deadline passed before the whole answer was read.
	ErrLate = errors.New("the answer did not come in time")
	// ErrBroken tells that the connection broke, or that the answer is cut
	// short, too large or without a length.
	ErrBroken = errors.New("the answer broke off")
	// ErrMismatch tells that the answer carries another request's identity.
	ErrMismatch = errors.New("the answer belongs to another request")
)

// Request is one request to a runner.
type Request struct {
	ID       string // identity, unique for each attempt to run a request
	Method   string
	Path     string // with a leading slash
	Query    string // without the question mark
	Header   [][2]string
	Body     []byte
	Deadline time.Time
	Late     func(*Answer, error) // called once if Send returned ErrLate, when the exchange is over; may be nil
}

// Answer is a runner's whole answer. Only the answer to a HEAD request has a
// Content-Length among its headers, since its body does not tell it.
type Answer struct {
	Status int
	Header [][2]string
	Body   []byte
}

// Slot is the right to have one request in flight at a runner. It must be
// released once. It is not safe for concurrent use.
type Slot struct {
	pool     *Pool
	service  *service
	runner   *runner
	client   *client
	lost     bool
	released bool
}

// Runner returns the name of the slot's runner.
func (s *Slot) Runner() string { return s.runner.id.Name }

// Valid reports whether the runner is still owned and not leaving. A holder
// that has waited since Acquire asks before it sends.
func (s *Slot) Valid() bool {
	now := s.pool.options.Now()
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	return s.runner.owned && s.runner.client == s.client && !now.Before(s.runner.left)
}

// exchange is the outcome of a request that was sent.
type exchange struct {
	answer *Answer
	err    error
}

// Send sends a request and reads the whole answer. After an error other than
// ErrNotSent the runner may have run the request, or may still be running it.
//
// At the request's deadline Send returns ErrLate, but the exchange goes on, since
// the runner does too. The slot is given back when it is over.
func (s *Slot) Send(r *Request) (*Answer, error) {
	left := r.Deadline.Sub(s.pool.options.Now())
	if left <= 0 {
		return nil, errors.Wrap(ErrNotSent, "the deadline has passed")
	}
	done := make(chan exchange, 1)
	go func() {
		answer, err := s.client.do(r, left, &s.pool.hooks)
		done <- exchange{answer, err}
	}()
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case x := <-done:
		s.conclude(x)
		return x.answer, x.err
	case <-timer.C:
	}
	s.released = true // from here on by finish
	go s.finish(done, r.Late)
	return nil, ErrLate
}

// finish waits for the end of an exchange that its caller has given up.
func (s *Slot) finish(done <-chan exchange, late func(*Answer, error)) {
	x := <-done
	s.conclude(x)
	s.giveBack()
	if late != nil {
		late(x.answer, x.err)
	}
}

func (s *Slot) conclude(x exchange) {
	s.lost = errors.Is(x.err, ErrLate) || errors.Is(x.err, ErrMismatch)
	s.observe(x.answer, x.err)
}

// observe keeps count of the runner's failures in a row. A runner that gives no
// answer at all does not count, since it may only be slow.
func (s *Slot) observe(answer *Answer, err error) {
	failed := err != nil && !errors.Is(err, ErrLate) || err == nil && answer.Status == statusRefused
	now := s.pool.options.Now()
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	r := s.runner
	if !failed {
		if err == nil {
			r.failed = 0
		}
		return
	}
	r.failed++
	r.avoid = now.Add(avoidTime(r.failed))
	s.pool.options.Log.Emit(event.RunnerAvoided, zap.String("entry", r.id.Entry), zap.String("runner", r.id.Name),
		zap.Int("failures", r.failed), zap.Time("until", r.avoid), zap.Error(err))
	if errors.Is(err, ErrMismatch) {
		s.pool.options.Log.Emit(event.RunnerMismatch, zap.String("entry", r.id.Entry), zap.String("runner", r.id.Name))
	}
}

// avoidTime is how long a runner gets nothing after so many failures in a row.
func avoidTime(failures int) time.Duration {
	return min(avoidFirst<<min(failures-1, 10), avoidMaximum)
}

// Release gives the slot back, or counts it as lost while the runner may still
// handle the request. Releasing a zero Slot has no effect.
func (s *Slot) Release() {
	if s.released || s.runner == nil {
		return
	}
	s.released = true
	s.giveBack()
}

func (s *Slot) giveBack() {
	now := s.pool.options.Now()
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	s.runner.used--
	if s.lost {
		s.runner.lost++
		s.runner.lostAt = now
	}
	if s.runner.route.Gone && s.runner.used == 0 && s.service.runners[s.runner.id.Name] == s.runner {
		delete(s.service.runners, s.runner.id.Name)
	}
}

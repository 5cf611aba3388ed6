package upstream

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// Errors of Send.
var (
	// ErrNotSent means that no byte of the request can have reached the runner.
	ErrNotSent = errors.New("the request was not sent")
	// ErrTimeout means that the deadline passed before the complete response was
	// read.
	ErrTimeout = errors.New("the answer did not come in time")
	// ErrIncomplete means that the connection was lost, or that the response is
	// truncated, too large or without a length.
	ErrIncomplete = errors.New("the answer broke off")
	// ErrMismatch means that the response has the ID of another request.
	ErrMismatch = errors.New("the answer belongs to another request")
)

// Request is one request to a runner.
type Request struct {
	ID             string // unique for each attempt to run a request
	Method         string
	Path           string // with a leading slash
	Query          string // without the question mark
	Header         [][2]string
	Body           []byte
	Deadline       time.Time
	OnLateResponse func(*Answer, error) // called once the exchange has ended if Send returned ErrTimeout; may be nil
}

// Answer is the complete response of a runner. Header contains a Content-Length
// only for a HEAD request, where it cannot be derived from the body.
type Answer struct {
	Status int
	Header [][2]string
	Body   []byte
}

// Slot is a reservation for one request in flight at a runner. It must be
// released, and it is not safe for concurrent use.
type Slot struct {
	pool      *Pool
	service   *service
	runner    *runner
	client    *client
	abandoned bool
	released  bool
}

// Runner returns the name of the runner.
func (s *Slot) Runner() string { return s.runner.id.Name }

// Valid reports whether the runner is still owned and not leaving. Call it
// before Send if time has passed since Acquire.
func (s *Slot) Valid() bool {
	now := s.pool.options.Now()
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	return s.runner.owned && s.runner.client == s.client && !now.Before(s.runner.leftUntil)
}

// exchange is the outcome of a request that was sent.
type exchange struct {
	answer *Answer
	err    error
}

// Send sends a request and reads the complete response. After an error other
// than ErrNotSent the runner may have executed the request or may still be
// executing it.
//
// Send returns ErrTimeout at the request's deadline. The exchange continues in
// the background, since the runner is not interrupted either, and the slot is
// returned when it ends.
func (s *Slot) Send(r *Request) (*Answer, error) {
	remaining := r.Deadline.Sub(s.pool.options.Now())
	if remaining <= 0 {
		return nil, errors.Wrap(ErrNotSent, "the deadline has passed")
	}
	done := make(chan exchange, 1)
	go func() {
		answer, err := s.client.do(r, remaining, &s.pool.hooks)
		done <- exchange{answer, err}
	}()
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case x := <-done:
		s.recordResult(x)
		return x.answer, x.err
	case <-timer.C:
	}
	s.released = true // awaitEnd returns the slot
	go s.awaitEnd(done, r.OnLateResponse)
	return nil, ErrTimeout
}

// awaitEnd waits for the end of an exchange whose caller no longer waits, and
// returns the slot.
func (s *Slot) awaitEnd(done <-chan exchange, onLateResponse func(*Answer, error)) {
	x := <-done
	s.recordResult(x)
	s.returnSlot()
	if onLateResponse != nil {
		onLateResponse(x.answer, x.err)
	}
}

// recordResult updates the slot and the failure count of the runner after an
// exchange.
func (s *Slot) recordResult(x exchange) {
	s.abandoned = errors.Is(x.err, ErrTimeout) || errors.Is(x.err, ErrMismatch)
	s.updateFailures(x.answer, x.err)
}

// updateFailures counts the consecutive failures of the runner and starts a
// backoff after each. A response resets the count. A timeout leaves it unchanged,
// since the runner may only be slow.
func (s *Slot) updateFailures(answer *Answer, err error) {
	failed := err != nil && !errors.Is(err, ErrTimeout) || err == nil && answer.Status == statusRefused
	now := s.pool.options.Now()
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	r := s.runner
	if !failed {
		if err == nil {
			r.failures = 0
		}
		return
	}
	r.failures++
	r.avoidUntil = now.Add(backoff(r.failures))
	s.pool.options.Log.Emit(event.RunnerAvoided, zap.String("entry", r.id.Entry), zap.String("runner", r.id.Name),
		zap.Int("failures", r.failures), zap.Time("until", r.avoidUntil), zap.Error(err))
	if errors.Is(err, ErrMismatch) {
		s.pool.options.Log.Emit(event.RunnerMismatch, zap.String("entry", r.id.Entry), zap.String("runner", r.id.Name))
	}
}

// backoff returns how long a runner gets no requests after the given number of
// consecutive failures.
func backoff(failures int) time.Duration {
	return min(minBackoff<<min(failures-1, 10), maxBackoff)
}

// Release returns the slot. If the runner may still be handling the request, the
// slot is counted as abandoned instead of free. Calling Release again, or on a
// zero Slot, has no effect.
func (s *Slot) Release() {
	if s.released || s.runner == nil {
		return
	}
	s.released = true
	s.returnSlot()
}

func (s *Slot) returnSlot() {
	now := s.pool.options.Now()
	s.service.mu.Lock()
	defer s.service.mu.Unlock()
	s.runner.used--
	if s.abandoned {
		s.runner.abandoned++
		s.runner.abandonedAt = now
	}
	if s.runner.route.Gone && s.runner.used == 0 && s.service.runners[s.runner.id.Name] == s.runner {
		delete(s.service.runners, s.runner.id.Name)
	}
}

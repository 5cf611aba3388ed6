package peer

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// headerSpace is room for the prefix and header of a usual request, in bytes.
const headerSpace = 64

// longest bounds the remaining time that a header may state, so that it
// cannot overflow a time.Duration.
const longest = 24 * time.Hour

// notSent marks an error of a call that no handler has seen.
func notSent(err error) error { return fmt.Errorf("%w: %w", ErrNotSent, plain(err)) }

// plain keeps only the text of errors of the QUIC library. They embed nil
// errors, which break formatting once they are wrapped.
func plain(err error) error {
	if errors.IsAny(err, context.Canceled, context.DeadlineExceeded) {
		return err
	}
	return errors.New(err.Error())
}

// unknown marks an error of a call that a handler may have seen. If the caller
// gave up, the error is that of its context.
func unknown(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return fmt.Errorf("%w: %w", ErrUnknown, plain(err))
}

// Call sends a request and reads the answer into response, which may be nil.
// Its errors match ErrNotSent, ErrUnknown or *Remote, and also ctx's error if
// that was the reason. The time that ctx leaves is passed on to the handler.
// Run must be running, unless the call is to the own name.
func (p *Peer) Call(ctx context.Context, to, method string, request, response any) error {
	if err := ctx.Err(); err != nil {
		return notSent(err)
	}
	body, err := encodeBody(request, p.options.Maximum)
	if err != nil {
		return notSent(err)
	}
	if to == p.options.Name {
		return p.callSelf(ctx, method, body, response)
	}
	metricCalls.Add(1)
	err = p.callOther(ctx, to, method, body, response)
	switch {
	case errors.Is(err, ErrNotSent):
		metricUnsent.Add(1)
	case errors.Is(err, ErrUnknown):
		metricDoubt.Add(1)
	}
	return err
}

func (p *Peer) callOther(ctx context.Context, to, method string, body []byte, response any) error {
	s := p.side(to)
	if s == nil {
		return notSent(errors.Newf("%q is not among the peers", to))
	}
	l, err := s.usable(ctx)
	if err != nil {
		return notSent(err)
	}
	l.calls.Add(1)
	defer l.calls.Add(-1)
	str, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return notSent(err)
	}
	return p.exchange(ctx, str, method, body, response)
}

// callSelf runs the own handler. The body is encoded and decoded as for any
// other process, so that caller and handler share no memory.
func (p *Peer) callSelf(ctx context.Context, method string, body []byte, response any) error {
	handler := p.handler(method)
	if handler == nil {
		return noMethod(method)
	}
	value, err := handler(ctx, p.options.Name, decoder(body))
	if ctx.Err() != nil && errors.IsAny(err, context.Canceled, context.DeadlineExceeded) {
		return unknown(ctx, err)
	}
	if err != nil {
		return remote(err)
	}
	b, err := encodeBody(value, p.options.Maximum)
	if err != nil {
		return &Remote{Code: CodeTooLarge, Message: err.Error()}
	}
	if err := decodeBody(b, response); err != nil {
		return unknown(ctx, err)
	}
	return nil
}

// exchange writes a request to a new stream and reads the answer.
func (p *Peer) exchange(ctx context.Context, str *quic.Stream, method string, body []byte, response any) error {
	cancel := func() {
		str.CancelWrite(resetCancelled)
		str.CancelRead(resetCancelled)
	}
	deadline, ok := ctx.Deadline()
	frame, err := appendFrame(make([]byte, 0, headerSpace+len(body)),
		request{Method: method, Remaining: remaining(deadline, ok), Size: int64(len(body))}, body)
	if err != nil {
		cancel()
		return notSent(err)
	}
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	metricBytes.Add(int64(len(frame)))
	if _, err := str.Write(frame); err != nil {
		// Write fails only while part of the frame is still unsent. The reset
		// keeps it so, and a handler needs the whole frame.
		cancel()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return notSent(err)
	}
	var h answer
	if err := readHeader(str, &h); err != nil {
		cancel()
		return outcome(ctx, whole(err))
	}
	b, err := readBody(str, h.Size, p.options.Maximum)
	if err != nil {
		cancel()
		return outcome(ctx, err)
	}
	// Ending the stream confirms the answer; it fails only if the connection
	// has ended, which the answer has outrun.
	_ = str.Close()
	// The answer is whole. Its stream's end may come in a later packet, which
	// is not worth waiting for.
	str.CancelRead(resetCancelled)
	if h.Code != "" {
		return &Remote{Code: h.Code, Message: h.Message}
	}
	if err := decodeBody(b, response); err != nil {
		return unknown(ctx, err)
	}
	return nil
}

// outcome tells a request that was certainly refused from one whose answer was lost.
func outcome(ctx context.Context, err error) error {
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote {
		switch reset.ErrorCode {
		case resetRefused:
			return notSent(errors.New("the other side refuses new calls"))
		case resetDeadline:
			// The other side's clock was ahead of the own timer.
			return unknown(ctx, context.DeadlineExceeded)
		}
	}
	return unknown(ctx, err)
}

// finish reads the end of a stream.
func finish(str io.Reader) error {
	var b [1]byte
	n, err := str.Read(b[:])
	if n > 0 {
		return errors.New("the stream goes on after its frame")
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// serve reads one call, runs its handler and sends the answer.
func (p *Peer) serve(ctx context.Context, l *link, str *quic.Stream) {
	if !p.active.enter() {
		metricRefuse.Add(1)
		str.CancelRead(resetRefused)
		str.CancelWrite(resetRefused)
		return
	}
	defer p.active.leave()
	l.calls.Add(1)
	defer l.calls.Add(-1)

	begun := time.Now()
	h, body, err := p.readRequest(str, begun)
	if err != nil {
		metricRefuse.Add(1)
		str.CancelRead(resetRefused)
		str.CancelWrite(resetRefused)
		return
	}
	// The stream's context ends when the caller resets the stream or the
	// connection is lost.
	run, cancel := context.WithCancel(str.Context())
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	if h.Remaining > 0 {
		left := longest
		if h.Remaining < longest.Microseconds() {
			left = time.Duration(h.Remaining) * time.Microsecond
		}
		run, cancel = context.WithDeadline(run, begun.Add(left))
		defer cancel()
	}
	metricServed.Add(1)
	frame, err := p.handle(run, l.name, h.Method, body)
	if err != nil {
		str.CancelWrite(resetDeadline)
		str.CancelRead(resetDeadline)
		return
	}
	_ = str.SetWriteDeadline(time.Now().Add(receiveTimeout))
	metricBytes.Add(int64(len(frame)))
	if _, err := str.Write(frame); err != nil {
		str.CancelWrite(resetBroken)
		str.CancelRead(resetBroken)
		return
	}
	_ = str.Close()
	// The caller ends its side when it has the answer. Until then the
	// connection must stay open, or the answer could be lost with it.
	_ = str.SetReadDeadline(time.Now().Add(confirmTimeout))
	if finish(str) != nil {
		str.CancelRead(resetBroken)
	}
}

func (p *Peer) readRequest(str *quic.Stream, begun time.Time) (h request, body []byte, err error) {
	if err := str.SetReadDeadline(begun.Add(receiveTimeout)); err != nil {
		return h, nil, err
	}
	if err := readHeader(str, &h); err != nil {
		return h, nil, err
	}
	body, err = readBody(str, h.Size, p.options.Maximum)
	return h, body, err
}

// handle runs a handler and returns the frame of its answer. It fails with the
// context's error if the handler stopped because of that. Such an error is no
// answer of the handler's: the caller must take the outcome as unknown.
func (p *Peer) handle(ctx context.Context, name, method string, body []byte) ([]byte, error) {
	var value any
	var err error
	if handler := p.handler(method); handler != nil {
		value, err = handler(ctx, name, decoder(body))
	} else {
		err = noMethod(method)
	}
	if err == nil {
		var b []byte
		if b, err = encodeBody(value, p.options.Maximum); err != nil {
			err = &Remote{Code: CodeTooLarge, Message: err.Error()}
		} else if frame, e := appendFrame(nil, answer{Size: int64(len(b))}, b); e == nil {
			return frame, nil
		} else {
			err = e
		}
	}
	if ctx.Err() != nil && errors.IsAny(err, context.Canceled, context.DeadlineExceeded) {
		return nil, ctx.Err()
	}
	r := remote(err)
	frame, err := appendFrame(nil, answer{Code: clip(r.Code), Message: clip(r.Message)}, nil)
	if err != nil {
		panic(err) // two clipped strings fit a header
	}
	return frame, nil
}

func noMethod(method string) *Remote {
	return &Remote{Code: CodeMethod, Message: "there is no method " + clip(method)}
}

// remote returns the form in which a handler's error reaches the caller.
func remote(err error) *Remote {
	var r *Remote
	if errors.As(err, &r) {
		return r
	}
	return &Remote{Code: CodeInternal, Message: err.Error()}
}

// clip shortens a text to what a header can hold and drops bytes that are not
// UTF-8, which CBOR text strings must be.
func clip(s string) string {
	if len(s) > maximumText {
		s = s[:maximumText]
	}
	return strings.ToValidUTF8(s, "")
}

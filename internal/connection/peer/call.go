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

// headerCapacity is enough for the prefix and header of a typical request, in
// bytes.
const headerCapacity = 64

// maxRemaining limits the remaining time stated in a header, so that it cannot
// overflow a time.Duration.
const maxRemaining = 24 * time.Hour

// notSent marks the error of a call that cannot have reached a handler.
func notSent(err error) error { return fmt.Errorf("%w: %w", ErrNotSent, textOnly(err)) }

// textOnly reduces errors of the QUIC library to their text. They embed nil
// errors, which break formatting when they are wrapped.
func textOnly(err error) error {
	if errors.IsAny(err, context.Canceled, context.DeadlineExceeded) {
		return err
	}
	return errors.New(err.Error())
}

// unknown marks the error of a call that may have reached a handler. If ctx has
// ended, its error is used instead of err.
func unknown(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return fmt.Errorf("%w: %w", ErrUnknown, textOnly(err))
}

// Call sends a request and decodes the answer into response, which may be nil.
// Its errors match ErrNotSent, ErrUnknown or *RemoteError, and also the error of
// ctx if that was the cause. The remaining time of ctx is passed on to the handler.
// Run must be running, unless the process calls itself.
func (p *Peer) Call(ctx context.Context, to, method string, request, response any) error {
	if err := ctx.Err(); err != nil {
		return notSent(err)
	}
	body, err := encodeBody(request, p.options.MaxBodySize)
	if err != nil {
		return notSent(err)
	}
	if to == p.options.Name {
		return p.callSelf(ctx, method, body, response)
	}
	metricCalls.Add(1)
	err = p.callRemote(ctx, to, method, body, response)
	switch {
	case errors.Is(err, ErrNotSent):
		metricUnsent.Add(1)
	case errors.Is(err, ErrUnknown):
		metricUnknown.Add(1)
	}
	return err
}

// callRemote sends a call to another process.
func (p *Peer) callRemote(ctx context.Context, to, method string, body []byte, response any) error {
	s := p.remotePeer(to)
	if s == nil {
		return notSent(errors.Newf("%q is not among the peers", to))
	}
	l, err := s.waitConnected(ctx)
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

// callSelf calls a handler of this process. The bodies are encoded and decoded as
// for other processes, so that caller and handler share no memory.
func (p *Peer) callSelf(ctx context.Context, method string, body []byte, response any) error {
	handler := p.handler(method)
	if handler == nil {
		return unknownMethod(method)
	}
	value, err := handler(ctx, p.options.Name, decoder(body))
	if ctx.Err() != nil && errors.IsAny(err, context.Canceled, context.DeadlineExceeded) {
		return unknown(ctx, err)
	}
	if err != nil {
		return toRemote(err)
	}
	b, err := encodeBody(value, p.options.MaxBodySize)
	if err != nil {
		return &RemoteError{Code: CodeTooLarge, Message: err.Error()}
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
	frame, err := appendFrame(make([]byte, 0, headerCapacity+len(body)),
		requestHeader{Method: method, Remaining: remaining(deadline, ok), Size: int64(len(body))}, body)
	if err != nil {
		cancel()
		return notSent(err)
	}
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	metricBytes.Add(int64(len(frame)))
	if _, err := str.Write(frame); err != nil {
		// Write fails only if part of the frame was not sent. After the reset
		// it will not be sent, and no handler runs without the complete frame.
		cancel()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return notSent(err)
	}
	var h answerHeader
	if err := readHeader(str, &h); err != nil {
		cancel()
		return responseError(ctx, unexpectedEOF(err))
	}
	b, err := readBody(str, h.Size, p.options.MaxBodySize)
	if err != nil {
		cancel()
		return responseError(ctx, err)
	}
	// Closing the stream confirms the answer. It fails only if the connection
	// has ended, which does not matter once the answer has arrived.
	_ = str.Close()
	// The answer is complete, so do not wait for the end of the stream, which
	// may arrive in a later packet.
	str.CancelRead(resetCancelled)
	if h.Code != "" {
		return &RemoteError{Code: h.Code, Message: h.Message}
	}
	if err := decodeBody(b, response); err != nil {
		return unknown(ctx, err)
	}
	return nil
}

// responseError marks an error of reading the answer with ErrNotSent if the other
// side refused the request, else with ErrUnknown.
func responseError(ctx context.Context, err error) error {
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.Remote {
		switch reset.ErrorCode {
		case resetRefused:
			return notSent(errors.New("the other side refuses new calls"))
		case resetDeadline:
			// The deadline passed on the other side before the local timer fired.
			return unknown(ctx, context.DeadlineExceeded)
		}
	}
	return unknown(ctx, err)
}

// expectEOF reads the end of a stream.
func expectEOF(str io.Reader) error {
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

// serve reads a call, runs its handler and sends the answer.
func (p *Peer) serve(ctx context.Context, l *connection, str *quic.Stream) {
	if !p.active.enter() {
		metricRefused.Add(1)
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
		metricRefused.Add(1)
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
		left := maxRemaining
		if h.Remaining < maxRemaining.Microseconds() {
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
	// The caller closes its side of the stream when it has the answer. Until
	// then the connection must stay open, or the answer could be lost.
	_ = str.SetReadDeadline(time.Now().Add(confirmTimeout))
	if expectEOF(str) != nil {
		str.CancelRead(resetBroken)
	}
}

// readRequest reads the header and body of a call.
func (p *Peer) readRequest(str *quic.Stream, begun time.Time) (h requestHeader, body []byte, err error) {
	if err := str.SetReadDeadline(begun.Add(receiveTimeout)); err != nil {
		return h, nil, err
	}
	if err := readHeader(str, &h); err != nil {
		return h, nil, err
	}
	body, err = readBody(str, h.Size, p.options.MaxBodySize)
	return h, body, err
}

// handle runs a handler and returns the frame of its answer. It returns the error
// of ctx if the handler was aborted because of it. The answer then does not state
// an outcome, so the caller must treat it as unknown.
func (p *Peer) handle(ctx context.Context, name, method string, body []byte) ([]byte, error) {
	var value any
	var err error
	if handler := p.handler(method); handler != nil {
		value, err = handler(ctx, name, decoder(body))
	} else {
		err = unknownMethod(method)
	}
	if err == nil {
		var b []byte
		if b, err = encodeBody(value, p.options.MaxBodySize); err != nil {
			err = &RemoteError{Code: CodeTooLarge, Message: err.Error()}
		} else if frame, e := appendFrame(nil, answerHeader{Size: int64(len(b))}, b); e == nil {
			return frame, nil
		} else {
			err = e
		}
	}
	if ctx.Err() != nil && errors.IsAny(err, context.Canceled, context.DeadlineExceeded) {
		return nil, ctx.Err()
	}
	r := toRemote(err)
	frame, err := appendFrame(nil, answerHeader{Code: truncate(r.Code), Message: truncate(r.Message)}, nil)
	if err != nil {
		panic(err) // two truncated strings fit into a header
	}
	return frame, nil
}

func unknownMethod(method string) *RemoteError {
	return &RemoteError{Code: CodeUnknownMethod, Message: "there is no method " + truncate(method)}
}

// toRemote converts a handler's error to the form in which it is sent to the
// caller.
func toRemote(err error) *RemoteError {
	var r *RemoteError
	if errors.As(err, &r) {
		return r
	}
	return &RemoteError{Code: CodeInternal, Message: err.Error()}
}

// truncate shortens a text to fit into a header and removes invalid UTF-8, which
// CBOR text strings must not contain.
func truncate(s string) string {
	if len(s) > maxTextSize {
		s = s[:maxTextSize]
	}
	return strings.ToValidUTF8(s, "")
}

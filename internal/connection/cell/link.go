// Package cell connects each process of a cell with the leader.
//
// # Usage
//
//	link := cell.New(cell.Options{Name: "10.0.0.1", Seeds: seeds, Peer: node, Log: log})
//	go link.Run(ctx)
//	verdict, err := link.Call(ctx, cell.Call{Verb: cell.Status, Host: host, Path: path})
//
// A process is configured with a few control processes, its seeds, some of which
// may no longer exist. It queries all control processes that it knows until one
// answers as leader, and learns of further ones from the answers.
//
// # Relays
//
// A process that is partitioned from the control processes, but not from the other
// processes, sends its calls through one that has reached the leader recently.
//
// # Outcomes
//
// A call fails with ErrNoLeader if it has certainly not been executed, and with
// ErrUnknown if it may have been. Without a known leader a call waits briefly, or
// for the duration of an election if the leader was lost recently, and then fails
// so that the caller can be told when to retry.
package cell

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/contact"
	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// pingInterval is the interval at which a process pings the leader.
	pingInterval = 300 * time.Millisecond
	// searchInterval is the time between two rounds of queries for the leader.
	searchInterval = 60 * time.Millisecond
	// queryTimeout is the timeout of such a query and of a ping.
	queryTimeout = 400 * time.Millisecond
	// attemptTimeout bounds one attempt of a call. A commit takes a few
	// milliseconds, so a leader that takes longer is assumed to be unreachable.
	attemptTimeout = 500 * time.Millisecond
	// maxLeaderWait is how long an unsent call waits for a leader if none has been
	// known for electionTime. A leader is then not expected soon, so the caller
	// is told to retry later instead of being kept waiting.
	maxLeaderWait = 40 * time.Millisecond
	// electionTime is the time within which a lost leader is usually replaced.
	// Calls wait that long, because a caller that is told to retry waits a second.
	electionTime = 1200 * time.Millisecond
	// maxRelays is the maximum number of relays that are tried for a call.
	maxRelays = 2
	// connectedTimeout is how long after an answered ping Connected returns true.
	connectedTimeout = 1500 * time.Millisecond
)

// Errors of calls to the leader.
var (
	// ErrNoLeader means that the call has certainly not been executed.
	ErrNoLeader = errors.New("no leader answers")
	// ErrUnknown means that the call may have been executed.
	ErrUnknown = errors.New("the outcome of the call is not known")
)

// Options configures a Link.
type Options struct {
	Name  string
	Zone  string
	Seeds []string // names of control processes
	Peer  peer.Caller
	Log   event.Log
}

// Link sends calls of a process to the current leader.
type Link struct {
	options      Options
	leader       atomic.Pointer[string]
	lastAnswered atomic.Int64 // Unix nanoseconds of the last answered ping; zero if none
	lostAt       atomic.Int64 // Unix nanoseconds at which the last known leader was lost
	reading      atomic.Pointer[reading]
	wake         chan struct{}
	reporter     reporter

	mu              sync.Mutex
	contacts        contact.Book  // control processes, some of which may be gone
	relayCandidates []string      // processes that reached the leader recently
	changed         chan struct{} // closed and replaced when a leader is found
}

// New returns a Link.
func New(options Options) *Link {
	l := &Link{options: options, wake: make(chan struct{}, 1), changed: make(chan struct{})}
	l.contacts.Add(options.Seeds...)
	l.lostAt.Store(time.Now().UnixNano())
	l.reporter.link = l
	return l
}

// AddSeeds adds the control processes named in reloaded settings to the known ones.
func (l *Link) AddSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contacts.Add(seeds...)
}

// Connected reports whether a leader is known and has answered a ping recently.
func (l *Link) Connected() bool {
	return l.leader.Load() != nil && time.Since(time.Unix(0, l.lastAnswered.Load())) < connectedTimeout
}

// Leader returns the name of the leader, or an empty string if none is known.
func (l *Link) Leader() string {
	if n := l.leader.Load(); n != nil {
		return *n
	}
	return ""
}

// Run searches for the leader and pings it until ctx is done.
func (l *Link) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if l.leader.Load() == nil {
			l.search(ctx)
			continue
		}
		l.ping(ctx)
		sleep(ctx, pingInterval, l.wake)
	}
	return nil
}

// sleep waits for d, a signal on wake, or the end of ctx.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// ping reports to the leader that this process is running.
func (l *Link) ping(ctx context.Context) {
	name := l.Leader()
	if name == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var a Leader
	if err := l.options.Peer.Call(ctx, name, MethodPing, Ping{Zone: l.options.Zone}, &a); err != nil {
		l.dropLeader(name, err)
		return
	}
	l.lastAnswered.Store(time.Now().UnixNano())
	l.noteMark(name, a.Mark)
	l.updateMembers(a)
}

// updateMembers stores the processes listed in the answer of a control process. The
// process may be out of date, so that its list does not replace the known contacts.
func (l *Link) updateMembers(a Leader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contacts.Add(a.Members...)
	l.contacts.Add(a.Name)
	if len(a.Linked) > 0 {
		l.relayCandidates = a.Linked
	}
}

// dropLeader discards a leader that did not answer or no longer leads. If the error
// names another leader, that one is used.
func (l *Link) dropLeader(name string, err error) {
	current := l.leader.Load()
	if current == nil || *current != name || !l.leader.CompareAndSwap(current, nil) {
		return
	}
	l.lostAt.Store(time.Now().UnixNano())
	l.options.Log.Emit(event.LeaderUnreached, zap.String("leader", name), event.Cause(err))
	select {
	case l.wake <- struct{}{}:
	default:
	}
	var r *peer.RemoteError
	if errors.As(err, &r) && r.Code == CodeNotLeader && r.Message != "" && r.Message != name {
		l.setLeader(r.Message)
	}
}

// setLeader records the leader if none is known, and wakes waiting calls.
func (l *Link) setLeader(name string) {
	if !l.leader.CompareAndSwap(nil, &name) {
		return
	}
	l.options.Log.Emit(event.LeaderReached, zap.String("leader", name))
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// candidates returns the known control processes.
func (l *Link) candidates() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.contacts.Names()
}

// search queries all candidates in parallel. Only a process that names itself is
// accepted as leader, since hints of others may be outdated.
func (l *Link) search(ctx context.Context) {
	for _, name := range l.candidates() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			var a Leader
			if l.options.Peer.Call(ctx, name, MethodWho, Who{}, &a) != nil {
				return
			}
			l.updateMembers(a) // the leader may not be among the candidates yet
			if a.Name == name {
				l.noteMark(name, a.Mark)
				l.setLeader(name)
			}
		}()
	}
	l.mu.Lock()
	changed := l.changed
	l.mu.Unlock()
	if l.leader.Load() != nil {
		return
	}
	sleep(ctx, searchInterval, changed)
}

// Call sends a caller's call to the leader.
func (l *Link) Call(ctx context.Context, call Call) (Verdict, error) {
	var v Verdict
	if call.Arrived.IsZero() {
		call.Arrived = boottime.Now()
	}
	err := l.callLeader(ctx, MethodCall, &call, &v)
	if err == nil && v.Code == Unclear {
		err = ErrUnknown
	}
	return v, err
}

// Apply sends a catalogue to the leader, which puts it into effect.
func (l *Link) Apply(ctx context.Context, c job.Catalogue) (Verdict, error) {
	var v Verdict
	err := l.callLeader(ctx, MethodApply, c, &v)
	return v, err
}

// Read returns the catalogue in effect.
func (l *Link) Read(ctx context.Context) (Document, error) {
	var d Document
	err := l.callLeader(ctx, MethodRead, Who{}, &d)
	return d, err
}

// Report sends a worker's report to the leader.
func (l *Link) Report(ctx context.Context, r Report) (Receipt, error) {
	return l.reporter.send(ctx, r)
}

// Leave reports to the leader that a worker is shutting down.
func (l *Link) Leave(ctx context.Context, m Leave) error {
	return l.callLeader(ctx, MethodLeave, m, nil)
}

// Maintain sends a maintenance wave to the leader.
func (l *Link) Maintain(ctx context.Context, w job.Wave) (Verdict, error) {
	var v Verdict
	err := l.callLeader(ctx, MethodMaintain, w, &v)
	return v, err
}

// Wave returns the progress of a maintenance wave.
func (l *Link) Wave(ctx context.Context, number int64) (Verdict, error) {
	var v Verdict
	err := l.callLeader(ctx, MethodWave, number, &v)
	return v, err
}

// callLeader calls the current leader and retries until ctx ends. All methods are
// safe to execute twice.
func (l *Link) callLeader(ctx context.Context, method string, request, response any) error {
	started, maybeExecuted := time.Now(), false
	relays := l.chooseRelays()
	if ctx.Err() != nil {
		return ErrNoLeader
	}
	for {
		l.mu.Lock()
		changed := l.changed
		l.mu.Unlock()
		name := l.Leader()
		if name == "" && len(relays) > 0 {
			to := relays[0]
			relays = relays[1:]
			err := l.relay(ctx, to, method, request, response, maybeExecuted)
			if err == nil || isLeaderAnswer(err) {
				return err
			}
			maybeExecuted = maybeExecuted || !errors.Is(err, ErrNoLeader)
			continue
		}
		if name == "" {
			if !maybeExecuted && time.Since(started) >= maxLeaderWait && time.Since(time.Unix(0, l.lostAt.Load())) > electionTime {
				return ErrNoLeader
			}
			sleep(ctx, maxLeaderWait, changed)
			if ctx.Err() == nil {
				continue
			}
			return callError(maybeExecuted)
		}
		err := l.stamp(ctx, request, maybeExecuted, func(ctx context.Context) (*reading, error) { return l.readLeader(ctx, name) })
		if err == nil {
			if err = l.attempt(ctx, name, method, request, response); err == nil || isLeaderAnswer(err) {
				return err
			}
			maybeExecuted = maybeExecuted || !notExecuted(err)
		}
		if ctx.Err() != nil || isExpired(err) {
			return callError(maybeExecuted)
		}
		l.dropLeader(name, err)
	}
}

// stampable is a request whose copies expire.
type stampable interface {
	arrival() time.Time             // at this process, on the boot-time clock
	renew(stamp Stamp, resent bool) // for the next copy; resent if an earlier one may have been carried out
}

// stamp prepares a request for its next copy. Requests that are not stampable are sent as they are: a
// late one changes nothing, since the leader compares their versions, sequences or incarnations.
func (l *Link) stamp(ctx context.Context, request any, resent bool, read func(context.Context) (*reading, error)) error {
	c, ok := request.(stampable)
	if !ok {
		return nil
	}
	r, err := read(ctx)
	if err != nil {
		return err
	}
	now := boottime.Now()
	deadline := now.Add(MaxCallAge)
	if d, ok := ctx.Deadline(); ok {
		deadline = now.Add(time.Until(d))
	}
	c.renew(r.Stamp(c.arrival(), deadline), resent)
	return nil
}

// isLeaderAnswer reports whether an error is the leader's answer to a call.
func isLeaderAnswer(err error) bool {
	var r *peer.RemoteError
	return errors.As(err, &r) && r.Code != CodeNotLeader && r.Code != CodeUnsettled && r.Code != CodeExpired
}

// isExpired reports whether the leader did not execute a call because it came too late.
func isExpired(err error) bool {
	var r *peer.RemoteError
	return errors.As(err, &r) && r.Code == CodeExpired
}

// notExecuted reports whether an error proves that the call was not executed.
func notExecuted(err error) bool {
	var r *peer.RemoteError
	return errors.As(err, &r) && (r.Code == CodeNotLeader || r.Code == CodeExpired) || errors.Is(err, peer.ErrNotSent)
}

// callError returns the error of a call that ended without an answer.
func callError(maybeExecuted bool) error {
	if maybeExecuted {
		return ErrUnknown
	}
	return ErrNoLeader
}

// attempt sends a call to a process with attemptTimeout.
func (l *Link) attempt(ctx context.Context, name, method string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return l.options.Peer.Call(ctx, name, method, request, response)
}

// chooseRelays returns up to maxRelays random processes that can relay a call.
func (l *Link) chooseRelays() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	contacts := l.contacts.Names()
	for _, i := range rand.Perm(len(l.relayCandidates)) {
		if n := l.relayCandidates[i]; n != l.options.Name && !slices.Contains(contacts, n) && len(names) < maxRelays {
			names = append(names, n)
		}
	}
	return names
}

// relay sends a call to the leader through another process. It returns the
// leader's error, ErrNoLeader or ErrUnknown, or an error of the encoding.
func (l *Link) relay(ctx context.Context, to, method string, request, response any, resent bool) error {
	if err := l.stamp(ctx, request, resent, func(ctx context.Context) (*reading, error) { return l.readThrough(ctx, to) }); err != nil {
		return ErrNoLeader
	}
	body, err := codec.Encode(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var answer cbor.RawMessage
	err = l.options.Peer.Call(ctx, to, MethodRelay, Relay{Method: method, Body: body}, &answer)
	l.options.Log.Emit(event.CallRelayed, zap.String("method", method), zap.String("through", to), event.Cause(err))
	var r *peer.RemoteError
	switch {
	case err == nil && response == nil:
		return nil
	case err == nil:
		return errors.Wrap(codec.DecodeMessage(answer, response), "decode answer")
	case errors.As(err, &r) && r.Code == codeNoLeader, errors.Is(err, peer.ErrNotSent):
		return ErrNoLeader
	case errors.As(err, &r) && r.Code != codeUnknown:
		return err
	}
	return ErrUnknown
}

// Codes of errors for relayed calls that the leader did not answer.
const (
	codeNoLeader = "no_leader"
	codeUnknown  = "unknown"
)

// Register registers the methods that each process serves.
func (l *Link) Register(mux peer.Mux) {
	mux.Handle(MethodMark, func(context.Context, string, peer.Decode) (any, error) { return l.serveMark() })
	mux.Handle(MethodRelay, func(ctx context.Context, _ string, decode peer.Decode) (any, error) {
		var r Relay
		if err := decode(&r); err != nil {
			return nil, &peer.RemoteError{Code: peer.CodeMalformed, Message: err.Error()}
		}
		name := l.Leader()
		if name == "" {
			return nil, &peer.RemoteError{Code: codeNoLeader, Message: ErrNoLeader.Error()}
		}
		var answer cbor.RawMessage
		err := l.attempt(ctx, name, r.Method, r.Body, &answer)
		var remote *peer.RemoteError
		switch {
		case err == nil:
			return answer, nil
		case notExecuted(err):
			return nil, &peer.RemoteError{Code: codeNoLeader, Message: err.Error()}
		case errors.As(err, &remote):
			return nil, remote
		}
		return nil, &peer.RemoteError{Code: codeUnknown, Message: err.Error()}
	})
}

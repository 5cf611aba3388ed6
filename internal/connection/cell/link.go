// Package cell links every process of a cell with its leader.
//
// # Usage
//
//	link := cell.New(cell.Options{Name: "10.0.0.1", Seeds: seeds, Peer: node, Log: log})
//	go link.Run(ctx)
//	verdict, err := link.Call(ctx, cell.Call{Verb: cell.Status, Host: host, Path: path})
//
// A process is told the addresses of a few control processes, of which some may
// be gone. It asks all that it knows for the leader until one answers, and
// learns the others from the leader.
//
// # Relays
//
// A process that is cut off from the control processes, but not from the others,
// passes its calls on through one of those that reached the leader lately.
//
// # Outcomes
//
// A call fails with ErrNoLeader if no process can have carried it out, and with
// ErrUnknown if one may have. A call without a leader fails at once: whoever
// waits for it is better served by a time to come back.
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

	"github.com/rosemaryloft/rosemaryloft/internal/connection/peer"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

const (
	// pingInterval is how often a process tells the leader that it is there.
	pingInterval = 300 * time.Millisecond
	// searchInterval is the time between two rounds of questions for the leader.
	searchInterval = 60 * time.Millisecond
	// askTimeout bounds one such question, and a ping.
	askTimeout = 400 * time.Millisecond
	// attemptTimeout bounds one attempt of a call; a commit takes some
	// milliseconds, so a leader that is silent for longer is given up.
	attemptTimeout = 500 * time.Millisecond
	// patience is how long a call that was not sent waits for a leader when none
	// has been known for electionTime. A caller is told to come back rather than
	// kept waiting for what is not expected soon.
	patience = 40 * time.Millisecond
	// electionTime is the time in which a lost leader is usually replaced. Calls
	// wait within it, because a caller that is told to come back waits a second.
	electionTime = 1200 * time.Millisecond
	// maximumRelays bounds the processes that a call is passed on through.
	maximumRelays = 2
	// readyTime is how long after a ping was answered a process counts as linked.
	readyTime = 1500 * time.Millisecond
)

// Errors of calls to the leader.
var (
	// ErrNoLeader tells that the call was certainly not carried out.
	ErrNoLeader = errors.New("no leader answers")
	// ErrUnknown tells that the call may have been carried out.
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

// Link is a process's link to the leader.
type Link struct {
	options  Options
	leader   atomic.Pointer[string]
	answered atomic.Int64 // Unix nanoseconds of the last answered ping; zero if none
	lost     atomic.Int64 // Unix nanoseconds at which the last known leader was lost
	wake     chan struct{}

	mu      sync.Mutex
	seeds   []string
	members []string
	linked  []string      // that reached the leader lately
	changed chan struct{} // closed when a leader is found
}

// New returns a Link.
func New(options Options) *Link {
	l := &Link{options: options, seeds: options.Seeds, wake: make(chan struct{}, 1), changed: make(chan struct{})}
	l.lost.Store(time.Now().UnixNano())
	return l
}

// SetSeeds replaces the control processes that the settings name.
func (l *Link) SetSeeds(seeds []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = seeds
}

// Linked reports whether a leader answered recently.
func (l *Link) Linked() bool {
	return l.leader.Load() != nil && time.Since(time.Unix(0, l.answered.Load())) < readyTime
}

// Leader returns the leader's name, empty if none is known.
func (l *Link) Leader() string {
	if n := l.leader.Load(); n != nil {
		return *n
	}
	return ""
}

// Run looks for the leader and pings it until ctx ends.
func (l *Link) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if l.leader.Load() == nil {
			l.search(ctx)
			continue
		}
		l.ping(ctx)
		wait(ctx, pingInterval, l.wake)
	}
	return nil
}

func wait(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// ping tells the leader that this process is there.
func (l *Link) ping(ctx context.Context) {
	name := l.Leader()
	if name == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var a Leader
	if err := l.options.Peer.Call(ctx, name, MethodPing, Ping{Zone: l.options.Zone}, &a); err != nil {
		l.lose(name, err)
		return
	}
	l.answered.Store(time.Now().UnixNano())
	l.learn(a)
}

// learn keeps the processes that a control process named.
func (l *Link) learn(a Leader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(a.Members) > 0 {
		l.members = a.Members
	}
	if len(a.Linked) > 0 {
		l.linked = a.Linked
	}
}

// lose forgets a leader that did not answer or does not lead.
func (l *Link) lose(name string, err error) {
	current := l.leader.Load()
	if current == nil || *current != name || !l.leader.CompareAndSwap(current, nil) {
		return
	}
	l.lost.Store(time.Now().UnixNano())
	l.options.Log.Emit(event.LeaderUnreached, zap.String("leader", name), event.Cause(err))
	select {
	case l.wake <- struct{}{}:
	default:
	}
	var r *peer.Remote
	if errors.As(err, &r) && r.Code == CodeNotLeader && r.Message != "" && r.Message != name {
		l.found(r.Message)
	}
}

func (l *Link) found(name string) {
	if !l.leader.CompareAndSwap(nil, &name) {
		return
	}
	l.options.Log.Emit(event.LeaderReached, zap.String("leader", name))
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// candidates returns the control processes that this process knows of.
func (l *Link) candidates() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := slices.Concat(l.members, l.seeds)
	slices.Sort(c)
	return slices.Compact(c)
}

// search asks all candidates at once. Only a process that says that it leads
// itself is taken; hints of others may be old.
func (l *Link) search(ctx context.Context) {
	for _, name := range l.candidates() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			var a Leader
			if l.options.Peer.Call(ctx, name, MethodWho, Who{}, &a) != nil {
				return
			}
			l.learn(a) // the leader may be none that was known
			if a.Name == name {
				l.found(name)
			}
		}()
	}
	l.mu.Lock()
	changed := l.changed
	l.mu.Unlock()
	if l.leader.Load() != nil {
		return
	}
	wait(ctx, searchInterval, changed)
}

// Call has the leader carry out a caller's call.
func (l *Link) Call(ctx context.Context, call Call) (Verdict, error) {
	var v Verdict
	err := l.do(ctx, MethodCall, call, &v)
	return v, err
}

// Apply has the leader put a catalogue in force.
func (l *Link) Apply(ctx context.Context, c job.Catalogue) (Verdict, error) {
	var v Verdict
	err := l.do(ctx, MethodApply, c, &v)
	return v, err
}

// Read returns the catalogue in force.
func (l *Link) Read(ctx context.Context) (Document, error) {
	var d Document
	err := l.do(ctx, MethodRead, Who{}, &d)
	return d, err
}

// Report hands a worker's report to the leader.
func (l *Link) Report(ctx context.Context, r Report) (Receipt, error) {
	var a Receipt
	err := l.do(ctx, MethodReport, r, &a)
	return a, err
}

// Leave tells the leader that a worker ends.
func (l *Link) Leave(ctx context.Context, m Leave) error {
	return l.do(ctx, MethodLeave, m, nil)
}

// Upkeep hands a wave to the leader.
func (l *Link) Upkeep(ctx context.Context, w Wave) (Verdict, error) {
	var v Verdict
	err := l.do(ctx, MethodUpkeep, w, &v)
	return v, err
}

// Wave asks the leader how far a wave is.
func (l *Link) Wave(ctx context.Context, number int64) (Verdict, error) {
	var v Verdict
	err := l.do(ctx, MethodWave, number, &v)
	return v, err
}

// do calls the leader, whoever it is by then, until ctx ends. All methods may
// be carried out twice.
func (l *Link) do(ctx context.Context, method string, request, response any) error {
	started, unclear := time.Now(), false
	relays := l.relays()
	for {
		l.mu.Lock()
		changed := l.changed
		l.mu.Unlock()
		name := l.Leader()
		if name == "" && len(relays) > 0 {
			to := relays[0]
			relays = relays[1:]
			err := l.relay(ctx, to, method, request, response)
			if err == nil || answered(err) {
				return err
			}
			unclear = unclear || !errors.Is(err, ErrNoLeader)
			continue
		}
		if name == "" {
			if !unclear && time.Since(started) >= patience && time.Since(time.Unix(0, l.lost.Load())) > electionTime {
				return ErrNoLeader
			}
			wait(ctx, patience, changed)
			if ctx.Err() == nil {
				continue
			}
			return failure(unclear)
		}
		err := l.attempt(ctx, name, method, request, response)
		if err == nil {
			return nil
		}
		switch {
		case answered(err):
			return err
		case !notCarriedOut(err):
			unclear = true
		}
		if ctx.Err() != nil {
			return failure(unclear)
		}
		l.lose(name, err)
	}
}

// answered reports whether an error is the leader's answer to a call.
func answered(err error) bool {
	var r *peer.Remote
	return errors.As(err, &r) && r.Code != CodeNotLeader && r.Code != CodeUnsettled
}

// notCarriedOut reports whether an error says that nobody carried a call out.
func notCarriedOut(err error) bool {
	var r *peer.Remote
	return errors.As(err, &r) && r.Code == CodeNotLeader || errors.Is(err, peer.ErrNotSent)
}

func failure(unclear bool) error {
	if unclear {
		return ErrUnknown
	}
	return ErrNoLeader
}

func (l *Link) attempt(ctx context.Context, name, method string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return l.options.Peer.Call(ctx, name, method, request, response)
}

// relays returns processes to pass a call on through, in random order.
func (l *Link) relays() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for _, i := range rand.Perm(len(l.linked)) {
		if n := l.linked[i]; n != l.options.Name && !slices.Contains(l.members, n) && len(names) < maximumRelays {
			names = append(names, n)
		}
	}
	return names
}

// relay passes a call on through another process. An error other than that of
// the leader is ErrNoLeader or ErrUnknown.
func (l *Link) relay(ctx context.Context, to, method string, request, response any) error {
	body, err := cbor.Marshal(request)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var answer cbor.RawMessage
	err = l.options.Peer.Call(ctx, to, MethodRelay, Relay{Method: method, Body: body}, &answer)
	l.options.Log.Emit(event.CallRelayed, zap.String("method", method), zap.String("through", to), event.Cause(err))
	var r *peer.Remote
	switch {
	case err == nil && response == nil:
		return nil
	case err == nil:
		return errors.Wrap(cbor.Unmarshal(answer, response), "decode answer")
	case errors.As(err, &r) && r.Code == codeNoLeader, errors.Is(err, peer.ErrNotSent):
		return ErrNoLeader
	case errors.As(err, &r) && r.Code != codeUnknown:
		return err
	}
	return ErrUnknown
}

// Codes of relayed calls that the leader did not answer.
const (
	codeNoLeader = "no_leader"
	codeUnknown  = "unknown"
)

// Register registers the methods that every process serves.
func (l *Link) Register(mux peer.Mux) {
	mux.Handle(MethodRelay, func(ctx context.Context, _ string, decode peer.Decode) (any, error) {
		var r Relay
		if err := decode(&r); err != nil {
			return nil, &peer.Remote{Code: peer.CodeMalformed, Message: err.Error()}
		}
		name := l.Leader()
		if name == "" {
			return nil, &peer.Remote{Code: codeNoLeader, Message: ErrNoLeader.Error()}
		}
		var answer cbor.RawMessage
		err := l.attempt(ctx, name, r.Method, r.Body, &answer)
		var remote *peer.Remote
		switch {
		case err == nil:
			return answer, nil
		case notCarriedOut(err):
			return nil, &peer.Remote{Code: codeNoLeader, Message: err.Error()}
		case errors.As(err, &remote):
			return nil, remote
		}
		return nil, &peer.Remote{Code: codeUnknown, Message: err.Error()}
	})
}

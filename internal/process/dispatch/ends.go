package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

const (
	// heldLogDelay is how long an end is listed without an acknowledgement before that is logged, and
	// heldLogInterval the time between two such lines about a worker.
	heldLogDelay    = time.Second
	heldLogInterval = 4 * time.Second
)

// Hold is why ends that a worker lists are not acknowledged.
type Hold uint8

// Holds of ends, in the order in which they are looked for.
const (
	HoldCommit Hold = iota // the ends are not committed yet
	HoldFormer             // an earlier leader sent starts to the worker that may still arrive
	HoldStart              // this leader did
	HoldCopies             // a copy of a start of the task that ended may still be carried out
	HoldUnread             // an end that comes before cannot be read
	HoldAnswer             // the worker does not answer
	HoldNone               // nothing but the next listing
	numHolds
)

var holdNames = [numHolds]string{"commit", "former", "start", "copies", "unread", "answer", "none"}

// String returns the name of the hold.
func (h Hold) String() string { return holdNames[h] }

// Holds returns all holds.
func Holds() []Hold {
	list := make([]Hold, numHolds)
	for i := range list {
		list[i] = Hold(i)
	}
	return list
}

// heldEnds says since when an end of a worker is listed without an acknowledgement. An end that comes
// later is looked at once this one is acknowledged.
type heldEnds struct {
	number  int64     // zero if all are acknowledged
	since   time.Time // when it was found
	nextLog time.Time
}

// Unacknowledged returns the number of ends that workers list and that are not acknowledged, by the
// hold, while this process leads.
func (d *Dispatcher) Unacknowledged(h Hold) int {
	if d.current.Load() == nil {
		return 0
	}
	return int(d.unacknowledged[h].Load())
}

// hold returns why the ends of a worker are not acknowledged. The caller holds the lock.
func (t *term) holdOf(w *worker) Hold {
	d := t.doubtsOf(w)
	switch {
	case w.lastEnd <= w.forgotten:
		return HoldUnread
	case w.acknowledged <= w.forgotten:
		return HoldCommit
	case t.now().Before(t.heldUntil[w.ID]), d != nil && d.mayArrive() && d.adopted():
		return HoldFormer
	case d != nil && d.mayArrive():
		return HoldStart
	case t.acknowledgedEnd(w) > w.forgotten && !w.answers():
		return HoldAnswer
	case t.acknowledgedEnd(w) > w.forgotten:
		return HoldNone
	case w.unreadEnd > 0 && w.unreadEnd <= w.acknowledged:
		return HoldUnread
	}
	return HoldCopies
}

// noteHeldEnds counts the ends that are not acknowledged, and logs those that are listed for long. The
// caller holds the lock.
func (t *term) noteHeldEnds(now time.Time) {
	var counts [numHolds]int64
	for _, w := range t.workers {
		last := w.lastListed()
		if last <= w.forgotten {
			w.held = heldEnds{}
			continue
		}
		h := t.holdOf(w)
		counts[h] += last - w.forgotten
		if w.held.number <= w.forgotten {
			w.held = heldEnds{number: last, since: now, nextLog: now.Add(heldLogDelay)}
		}
		if now.Before(w.held.nextLog) {
			continue
		}
		w.held.nextLog = now.Add(heldLogInterval)
		t.emit(event.EndsHeld, append([]zap.Field{zap.String("worker", w.ID), zap.Int64("life", int64(w.Life)), zap.Int64("number", w.held.number),
			zap.Int64("last", last), zap.Int64("acknowledged", w.forgotten), zap.Stringer("hold", h), zap.Time("since", w.held.since),
			zap.Int("runs", len(w.runs)), zap.Bool("listing", w.polling)}, t.holdFields(w)...)...)
	}
	for h, n := range counts {
		t.dispatcher.unacknowledged[h].Store(n)
	}
}

// lastListed returns the highest number of an end that is known to be listed, also of one that could not be
// read and of those after it.
func (w *worker) lastListed() int64 {
	last := max(w.lastEnd, w.unreadEnd)
	for _, n := range w.laterEnds {
		last = max(last, n)
	}
	return last
}

// holdFields returns the fields about the starts that keep ends from being acknowledged.
func (t *term) holdFields(w *worker) []zap.Field {
	var f []zap.Field
	if t.now().Before(t.heldUntil[w.ID]) {
		f = append(f, zap.Time("until", t.heldUntil[w.ID]))
	}
	d := t.doubtsOf(w)
	if d == nil {
		return f
	}
	var latest time.Time
	for _, s := range d.starts {
		latest = later(latest, s.sent)
	}
	return append(f, zap.Int("starts", len(d.starts)), zap.Time("sent", latest))
}

// adopted reports whether an earlier leader sent one of the starts that may still arrive.
func (d *doubts) adopted() bool {
	for _, s := range d.starts {
		if s.adopted && s.answered.IsZero() {
			return true
		}
	}
	return false
}

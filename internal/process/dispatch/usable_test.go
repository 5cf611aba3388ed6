package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// orderKind is a kind of order to a worker.
type orderKind string

const (
	startOrder orderKind = "start"
	stopOrder  orderKind = "stop"
	listOrder  orderKind = "list"
)

// answerShape changes the answer to an order. If the result is not Accepted, the worker does nothing.
type answerShape func(o orderKind, a Answer) Answer

// usableTime is how long after its recovery a worker has to be usable: it is avoided for refusals, and
// two reports later it has answered a listing.
const usableTime = maxAvoidTime + 2*1500*time.Millisecond

// answerShapes are the answers that the platform's pages name, and malformed ones.
var answerShapes = map[string]func(a Answer) Answer{
	"accepted":           func(a Answer) Answer { return a },
	"accepted, no clock": func(a Answer) Answer { return Answer{Result: Accepted, Life: a.Life} },
	"accepted, no body":  func(Answer) Answer { return Answer{Result: Accepted} },
	"accepted, no life":  func(a Answer) Answer { return Answer{Result: Accepted, Clock: a.Clock} },
	"accepted, later":    func(a Answer) Answer { return Answer{Result: Accepted, Clock: a.Clock.Add(time.Minute)} },
	"accepted, earlier":  func(a Answer) Answer { return Answer{Result: Accepted, Clock: a.Clock.Add(-3 * time.Second)} },
	"refused, no body":   func(Answer) Answer { return Answer{Result: Refused, Reason: ReasonOther} },
	"refused":            func(a Answer) Answer { return Answer{Result: Refused, Reason: ReasonOther, Clock: a.Clock} },
	"refused, later": func(a Answer) Answer {
		return Answer{Result: Refused, Reason: ReasonOther, Clock: a.Clock.Add(time.Minute)}
	},
	"refused, room":        func(a Answer) Answer { return Answer{Result: Refused, Reason: ReasonCapacity, Clock: a.Clock} },
	"refused, late":        func(a Answer) Answer { return Answer{Result: Refused, Reason: ReasonLeaseExpired, Clock: a.Clock} },
	"refused, old":         func(a Answer) Answer { return Answer{Result: Refused, Reason: ReasonRunEnded, Clock: a.Clock} },
	"refused, old no body": func(a Answer) Answer { return Answer{Result: Refused, Reason: ReasonRunEnded} },
	"refused, ticket":      func(a Answer) Answer { return Answer{Result: Refused, Reason: ReasonTicket, Clock: a.Clock} },
	"unanswered":           func(Answer) Answer { return Answer{Result: Unanswered} },
	"broken":               func(Answer) Answer { return Answer{Result: Unanswered, Reason: ReasonBroken} },
	"not sent":             func(Answer) Answer { return Answer{Result: NotSent} },
	"undelivered":          func(Answer) Answer { return Answer{Result: Undelivered, Open: 1} },
	"not allowed":          func(Answer) Answer { return Answer{Result: Undelivered} },
}

// usableCase is a worker that answers orders of one kind, or all, in one shape for some time.
type usableCase struct {
	order     orderKind // all kinds if empty
	shape     string
	busy      bool // the worker has a run
	successor bool // the leader changes meanwhile
}

func (c usableCase) String() string {
	return fmt.Sprintf("%s/%s/busy=%t/successor=%t", c.order, c.shape, c.busy, c.successor)
}

func (c usableCase) answer(o orderKind, a Answer) Answer {
	if o != listOrder {
		a.Life = 0 // only listings state it
	}
	if c.order == "" || c.order == o {
		return answerShapes[c.shape](a)
	}
	return a
}

// play has a worker answer in the shape for a while, and returns the cause for which it gets no tasks
// when it has to be usable again.
func (c usableCase) play(b *testCluster, trouble time.Duration) string {
	b.workers.setRunTime(time.Second)
	if c.busy {
		lasting := tasks(1)
		lasting.Lasting = true
		b.submit("busy", lasting)
	}
	time.Sleep(2 * time.Second)
	b.changeWorker("a", func(w *fakeWorker) { w.answers = c.answer })
	b.submit("one", tasks(1))
	time.Sleep(trouble / 2)
	b.cancel("one")
	if c.successor {
		b.log.set(false, 2)
		time.Sleep(100 * time.Millisecond)
		b.log.set(true, 3)
	}
	time.Sleep(trouble / 2)
	b.changeWorker("a", func(w *fakeWorker) {
		w.answers = func(o orderKind, a Answer) Answer { return usableCase{shape: "accepted"}.answer(o, a) }
	})
	time.Sleep(usableTime)
	t := b.awaitTerm()
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.workers["a"]
	if w == nil {
		return "not known"
	}
	return w.out(t.now(), t.timing().ReportInterval)
}

// Guards against an idle worker that gets no task for good after an answer that proves nothing, such as a
// refusal without a body, because no listing is sent to it any more (rule LOST, review/11).
func TestWorkerIsUsableAfterAnyAnswer(t *testing.T) {
	for shape := range answerShapes {
		for _, order := range []orderKind{startOrder, stopOrder, listOrder, ""} {
			for i := range 4 {
				c := usableCase{order: order, shape: shape, busy: i&1 != 0, successor: i&2 != 0}
				t.Run(c.String(), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						b := newTestCluster(t, "a")
						defer b.close()
						b.is.Equal(c.play(b, 2*time.Second), "")
						b.submit("last", tasks(1))
						time.Sleep(3 * time.Second)
						b.is.Equal(b.status("last"), job.Completed)
					})
				})
			}
		}
	}
}

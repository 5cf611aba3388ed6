package dispatch

import (
	"math"
	"time"
)

const (
	// answerMemory is the time constant with which earlier answers are forgotten.
	answerMemory = 2 * time.Second
	// maxLossGap is the longest time between two answers of a worker that counts as
	// one of lost answers. A worker that answers nothing for longer may have been cut off.
	maxLossGap = time.Second
	// chanceSilence is the probability at which consecutive lost answers of a worker are
	// no longer taken for chance.
	chanceSilence = 0.01
	// chanceNoneWaits is the probability at which all copies of a listing may be lost.
	chanceNoneWaits = 0.03
	// maxTolerance bounds the number of lost answers that count as chance.
	maxTolerance = 25
)

// lossShare estimates the share of copies of orders to workers whose answers are lost, from the
// workers that answer. Those that answer nothing say nothing about the others.
type lossShare struct {
	lost, answered float64
	at             time.Time
}

// record counts an answer that came after a number of copies without one, and the time since the
// worker's answer before.
func (l *lossShare) record(now time.Time, lost int, gap time.Duration) {
	l.forget(now)
	l.answered++
	if gap <= maxLossGap {
		l.lost += float64(lost)
	}
}

// forget reduces the weight of earlier answers.
func (l *lossShare) forget(now time.Time) {
	weight := math.Exp(-now.Sub(l.at).Seconds() / answerMemory.Seconds())
	l.lost, l.answered, l.at = l.lost*weight, l.answered*weight, now
}

// share returns the share of orders whose answers are lost. While little is known, it is
// low.
func (l *lossShare) share() float64 { return l.lost / (l.lost + l.answered + 1) }

// heldInterval returns the time between two listings that do not wait: the longer, the more of them
// are lost.
func (l *lossShare) heldInterval(now time.Time) time.Duration {
	l.forget(now)
	return min(maxHeldInterval, time.Duration(float64(minHeldInterval)/(1-l.share())))
}

// tolerance returns how many copies without an answer in a row are explained by the share.
func (l *lossShare) tolerance(now time.Time) int {
	return min(l.copies(now, chanceSilence), maxTolerance)
}

// copies returns how many copies are all lost with a given probability.
func (l *lossShare) copies(now time.Time, chance float64) int {
	l.forget(now)
	if share := l.share(); share > 0 {
		return int(math.Ceil(math.Log(chance) / math.Log(share)))
	}
	return 1
}

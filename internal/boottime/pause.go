package boottime

import (
	"context"
	"sync"
	"time"
)

const (
	// turnInterval is the time between two turns, and maxTurnDelay the longest one between
	// two turns of a process that runs. A busy process takes its turns late.
	turnInterval = 250 * time.Millisecond
	maxTurnDelay = 500 * time.Millisecond
	// drainTime is how long after a pause was noticed a process may still read what had
	// arrived during it.
	drainTime = 250 * time.Millisecond
)

// Pauses notices when this process does not run: it is stopped, starved of processor time,
// or its VM is suspended. What arrives meanwhile waits unread, and looks new when it is
// read. The zero value has seen no pause.
type Pauses struct {
	mu    sync.Mutex
	turn  time.Time // latest turn
	from  time.Time // last turn before the latest pause
	until time.Time // when that pause was noticed
}

// Watch takes turns until ctx ends.
func (p *Pauses) Watch(ctx context.Context) error {
	tick := time.NewTicker(turnInterval)
	defer tick.Stop()
	for {
		p.take(Now())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// take takes a turn.
func (p *Pauses) take(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.turn.IsZero() && now.Sub(p.turn) > maxTurnDelay {
		p.from, p.until = p.turn, now
	}
	p.turn = now
}

// Arrival returns the earliest time at which something may have arrived that is read now.
func (p *Pauses) Arrival(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.turn.IsZero():
		return now
	case now.Sub(p.turn) > maxTurnDelay:
		return p.turn
	case !p.until.IsZero() && now.Sub(p.until) < drainTime:
		return p.from
	}
	return now
}

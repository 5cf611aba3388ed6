package raft

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// slowInterval is the least time between two log lines on a slow replica.
const slowInterval = time.Second

// slowness is what delayed a replica since the last log line on it.
type slowness struct {
	late     time.Duration // longest time by which the loop woke too late
	sync     time.Duration // longest time to write and sync the log
	reportAt time.Time     // no line before this
}

// note records one turn of the loop that was due at a time, woke, and ended its sync. It
// logs delays above limit, from which on heartbeats are missed. What delays a replica then
// is the processor, if it wakes late, or the disk.
func (s *slowness) note(log event.Log, limit time.Duration, due, woke, synced time.Time) {
	s.late, s.sync = max(s.late, woke.Sub(due)), max(s.sync, synced.Sub(woke))
	if max(s.late, s.sync) < limit || synced.Before(s.reportAt) {
		return
	}
	log.Emit(event.ReplicaSlow, zap.Duration("late", s.late), zap.Duration("sync", s.sync))
	*s = slowness{reportAt: synced.Add(slowInterval)}
}

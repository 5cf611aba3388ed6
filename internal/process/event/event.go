// Package event defines the log events of the daemon, each with a number.
// Operators search and alert on the number: the wording of a log line may change,
// but its number does not. docs/events.md lists all events, and a test keeps the
// list in step with this package.
//
// # Usage
//
//	log := event.New(zap.NewProduction())
//	log.Emit(event.RequestRouted, zap.String("entry", entry), zap.String("runner", runner))
//
// Numbers are grouped: 1xx process, 2xx replicated log, 3xx leader and
// sessions, 4xx placement, 5xx entry VM's connection and runners, 6xx requests,
// 7xx workers, 8xx operators, 9xx jobs with steps and their cell, 10xx evacuation, speed of workers, load
// and shares. Each group has
// its own file.
package event

import (
	"maps"
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ID is the number of an event.
type ID int

// Kind describes an event.
type Kind struct {
	ID    ID
	Name  string // the log line's message
	Level zapcore.Level
	Help  string // what it means and what to do, for docs/events.md
}

var kinds = map[ID]Kind{}

// define registers an event and returns its number. It panics if the number is
// taken; since it runs on package initialization, any test reveals that.
func define(id ID, level zapcore.Level, name, help string) ID {
	if _, taken := kinds[id]; taken {
		panic("event: number defined twice: " + name)
	}
	kinds[id] = Kind{ID: id, Name: name, Level: level, Help: help}
	return id
}

// All returns every event, ordered by number.
func All() []Kind {
	return slices.SortedFunc(maps.Values(kinds), func(a, b Kind) int { return int(a.ID - b.ID) })
}

// Log writes events to a logger. The zero Log discards them.
type Log struct {
	zap     *zap.Logger
	observe func(ID, []zap.Field)
}

// New returns a Log that writes to logger.
func New(logger *zap.Logger) Log { return Log{zap: logger} }

// Observed returns a Log that also calls observe for every event, including
// those below the log level. The function must be safe for concurrent use, and
// must neither block nor retain the fields.
func (l Log) Observed(observe func(ID, []zap.Field)) Log {
	l.observe = observe
	return l
}

// Emit writes an event with its number as the field "event".
func (l Log) Emit(id ID, fields ...zap.Field) {
	if l.observe != nil {
		l.observe(id, fields)
	}
	if l.zap == nil {
		return
	}
	k := kinds[id]
	if c := l.zap.Check(k.Level, k.Name); c != nil {
		c.Write(append(fields, zap.Int("event", int(id)))...)
	}
}

// Cause returns a field with the message of err, without its stack trace, or a
// field that is skipped if err is nil.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

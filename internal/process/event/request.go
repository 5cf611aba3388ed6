package event

import "go.uber.org/zap/zapcore"

// Events of requests from callers, upstreams and workers.
var (
	RequestRouted    = define(600, zapcore.InfoLevel, "request routed", "A service request was answered; one line per request with its runner, status and attempts.")
	RequestRefused   = define(601, zapcore.InfoLevel, "request refused", "A service request was refused or failed; the code and ran tell why and whether it can have run.")
	RequestUnsettled = define(602, zapcore.WarnLevel, "outcome not recorded", "The outcome of a non-idempotent request could not be committed in time; a resend is answered in_progress.")
	RequestJob       = define(610, zapcore.InfoLevel, "job request", "A job was submitted or cancelled, or the request was refused.")
	RequestAnnounced = define(620, zapcore.DebugLevel, "runner announced", "An upstream announced a runner.")
	RequestLeft      = define(621, zapcore.InfoLevel, "runner left", "An upstream withdrew a runner.")
	RequestPoll      = define(630, zapcore.DebugLevel, "worker polled", "A worker's poll was answered.")
	RequestDeparted  = define(631, zapcore.InfoLevel, "worker left", "A worker asked to leave.")
)

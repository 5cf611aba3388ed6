package event

import "go.uber.org/zap/zapcore"

// Events of the start and shutdown of the process.
var (
	ProcessStarted     = define(100, zapcore.InfoLevel, "process started", "The daemon runs its roles.")
	ProcessStopping    = define(101, zapcore.InfoLevel, "process stopping", "A signal asked for a graceful shutdown; requests in flight are finished first.")
	ProcessStopped     = define(102, zapcore.InfoLevel, "process stopped", "Every role has ended.")
	VMSuspended        = define(105, zapcore.WarnLevel, "VM suspended", "The VM stood still for the time in the line, which the steady clock did not count; permissions from before are over.")
	ShutdownIncomplete = define(103, zapcore.WarnLevel, "shutdown incomplete", "Something was still in flight when the time for a graceful shutdown was over; its caller saw the connection end.")
	AcceptFailed       = define(104, zapcore.WarnLevel, "connection not accepted", "No connection could be accepted, for lack of descriptors for example; it is tried again, and open connections are served on. The line has the budget of the address.")
)

package event

import "go.uber.org/zap/zapcore"

// Events of requests to the operators' interface.
var (
	OperatorChanged  = define(800, zapcore.InfoLevel, "operator changed the system", "An operator's change was committed.")
	OperatorRefused  = define(801, zapcore.InfoLevel, "operator's change refused", "An operator's change was refused and had no effect; the line says why.")
	OperatorUnknown  = define(802, zapcore.WarnLevel, "outcome of operator's change unknown", "The leader was lost while a change was being made; a resend with the same Idempotency-Key tells the outcome.")
	OperatorDenied   = define(803, zapcore.WarnLevel, "operator denied", "A request to the operators' interface came without a valid operator key.")
	OperatorInternal = define(804, zapcore.ErrorLevel, "operator's request failed", "A request to the operators' interface failed for a reason that should not occur; the line has the error.")
)

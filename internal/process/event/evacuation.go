package event

import "go.uber.org/zap/zapcore"

// Events of evacuations of availability zones.
var (
	ZoneEvacuated     = define(1000, zapcore.InfoLevel, "zone evacuated", "An operator evacuated an availability zone: nothing starts on its workers any more. Runs there continue. No workers mean that the name may be misspelt.")
	ZoneRestored      = define(1001, zapcore.InfoLevel, "evacuation revoked", "An operator revoked the evacuation of an availability zone: its workers get tasks again.")
	EvacuationKept    = define(1002, zapcore.DebugLevel, "evacuation unchanged", "An operator's order about an availability zone changed nothing, such as a repeated one.")
	EvacuationRefused = define(1003, zapcore.WarnLevel, "evacuation refused", "An operator's order about an availability zone was refused; the line says why.")
	EvacuationStale   = define(1004, zapcore.WarnLevel, "late order about a zone dropped", "A copy of an operator's order arrived after a later order about the same availability zone, and was not carried out. The operator who still waits for its answer sends it again.")
	EvacuationsKnown  = define(1005, zapcore.InfoLevel, "zones are evacuated", "The availability zones that are evacuated have changed, or a new leader has learned them from the log.")
	StartWithheld     = define(1006, zapcore.InfoLevel, "start withheld", "A start was committed just before the availability zone of its worker was evacuated. It is not sent any more, and stopped if a copy of it may have arrived.")
)

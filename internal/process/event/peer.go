package event

import "go.uber.org/zap/zapcore"

// Events of the connections between processes and of their certificates.
var (
	PeerConnected       = define(150, zapcore.InfoLevel, "peer connected", "A connection with another process is in use.")
	PeerLost            = define(151, zapcore.WarnLevel, "peer lost", "The connection with another process ended; it is dialled again.")
	PeerUnreachable     = define(152, zapcore.WarnLevel, "peer unreachable", "Another process could not be dialled; the line is written once until a dial succeeds.")
	PeerRefused         = define(153, zapcore.WarnLevel, "peer refused", "A process connected whose certificate names no expected process; check the peers of the settings and who holds certificates.")
	PeerDropping        = define(154, zapcore.WarnLevel, "peer messages dropped", "One-way messages to another process were dropped because its queue was full or it could not be reached; the line counts those since the last such line, at most every 10 s.")
	MessageRefused      = define(155, zapcore.WarnLevel, "peer message refused", "A one-way message of another process could not be encoded or taken; it is dropped.")
	CertificateReloaded = define(160, zapcore.InfoLevel, "certificate reloaded", "The certificate files changed; new connections use them.")
	CertificateRejected = define(161, zapcore.ErrorLevel, "certificate files rejected", "The certificate files changed but cannot be used; the former ones stay in use.")
	CertificateExpiring = define(162, zapcore.WarnLevel, "certificate expires soon", "The certificate has to be replaced before the time in the line.")
)

package route

import "expvar"

// Metrics under "requests" in /debug/vars. All are counters since the start of
// the process, except in_flight, which is a gauge.
var (
	metrics = expvar.NewMap("requests")

	metricInFlight  = newInt("in_flight") // from callers and from other entry VMs
	metricAnswered  = newInt("answered")
	metricForwarded = newInt("forwarded") // attempts sent to another entry VM
	metricRetries   = newInt("retries")
	metricUnsettled = newInt("unsettled") // outcomes that could not be recorded
	metricRefused   = new(expvar.Map)     // by error code
)

func init() { metrics.Set("refused", metricRefused) }

func newInt(name string) *expvar.Int {
	i := new(expvar.Int)
	metrics.Set(name, i)
	return i
}

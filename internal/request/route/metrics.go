package route

import "expvar"

// Metrics under "requests" in /debug/vars. All but in_flight are counters since
// the start of the process.
var (
	metrics = expvar.NewMap("requests")

	metricFlight    = integer("in_flight") // requests of callers and of other entry VMs
	metricAnswered  = integer("answered")
	metricForwarded = integer("forwarded") // sent to another entry VM, each attempt
	metricRetries   = integer("retries")
	metricUnsettled = integer("unsettled") // outcomes that could not be recorded
	metricRefused   = new(expvar.Map)      // by code
)

func init() { metrics.Set("refused", metricRefused) }

func integer(name string) *expvar.Int {
	i := new(expvar.Int)
	metrics.Set(name, i)
	return i
}

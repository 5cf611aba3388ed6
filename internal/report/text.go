package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// maxListed is the number of workspaces, refusals and tasks that the text lists. The JSON
// has all.
const maxListed = 20

// Text writes the report as tables.
func (r *Report) Text(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "FROM\tUNTIL\tLINES\tDROPPED\n%s\t%s\t%d\t%d\n", stamp(r.From), stamp(r.Until), r.Lines, r.Dropped)
	r.writeQueues(w)
	fmt.Fprint(w, "\nWORKSPACE\tACCEPTED\tLONGEST-WAIT\tJOB\n")
	for _, s := range r.Workspaces[:min(len(r.Workspaces), maxListed)] {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", text(s.Name), s.Accepted, rounded(s.Longest), text(s.Job))
	}
	fmt.Fprint(w, "\nREFUSED\tREASON\n")
	for _, f := range r.Refusals[:min(len(r.Refusals), maxListed)] {
		fmt.Fprintf(w, "%d\t%s\n", f.Count, f.Reason)
	}
	r.writePools(w)
	fmt.Fprint(w, "\nLEADER\tTERM\tFROM\tGAP\n")
	for _, l := range r.Leaders {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", text(l.Process), l.Term, stamp(l.From), rounded(l.Gap))
	}
	k := &r.Workers
	fmt.Fprintf(w, "\nWORKERS\tKNOWN\tLEAVING\tSILENT\tAVOIDED\tCRASHED\tRESIZED\n\t%d\t%d\t%d\t%d\t%d\t%d\n",
		k.Known, k.Leaving, k.Silent, k.Avoided, k.Crashed, k.Resized)
	if len(r.GivenUp) > 0 {
		fmt.Fprintf(w, "\nGIVEN-UP\n%s\n", strings.Join(r.GivenUp[:min(len(r.GivenUp), maxListed)], "\n"))
	}
	return w.Flush()
}

func (r *Report) writeQueues(w io.Writer) {
	fmt.Fprint(w, "\nQUEUE\tACCEPTED\tCOMPLETED\tLATE\tFAILED\tCANCELLED\tWAIT-MEDIAN\tWAIT-95\tWAIT-LONGEST\n")
	for _, q := range r.Queues {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", text(q.Name), q.Accepted, q.Completed, q.Late, q.Failed, q.Cancelled,
			rounded(q.Waits.Median), rounded(q.Waits.High), rounded(q.Waits.Longest))
	}
}

func (r *Report) writePools(w io.Writer) {
	fmt.Fprint(w, "\nPOOL\tPROCESSORS\tACCELERATORS\tWAITING\tIDLE-WHILE-WAITING\n")
	for _, p := range r.Pools {
		var idle []string
		for _, cause := range slices.Sorted(maps.Keys(p.Idle)) {
			idle = append(idle, fmt.Sprintf("%s %.1f", cause, float64(p.Idle[cause])/1000))
		}
		fmt.Fprintf(w, "%s\t%.0f%%\t%.0f%%\t%d\t%s\n", text(p.Name), 100*p.Processors, 100*p.Accelerators, p.Waiting, text(strings.Join(idle, ", ")))
	}
}

// text returns "-" for an empty cell, so that scripts can split lines at spaces.
func text(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func rounded(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.Round(time.Millisecond).String()
}

func stamp(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format("2006-01-02T15:04:05.000Z")
}

// Package report reads the logs of a cell's processes, sums them up over a time, and
// explains what became of a request or a job.
//
// # Usage
//
//	b := report.NewBuilder(from, until)           // zero times leave the range open
//	skipped, err := report.Read(file, b.Add)      // once for each log
//	r := b.Report()
//	err = r.Text(os.Stdout)
//	err = r.Plot("day.png")
//
//	s := report.NewStory("2cd326797eb617a0")      // a job or a request
//	skipped, err := report.Read(file, s.Add)
//	err = s.Text(os.Stdout)
//	waits := s.Waits()                            // of the job's tasks, with their deadlines
//
// Logs are JSON lines as in docs/events.md, in any order of files. What stands before the
// first brace of a line, such as the name that a collector of logs adds, is ignored.
//
// # Bounds
//
// Memory does not grow with the length of the logs: waits and samples are thinned out, and
// a job is forgotten when it is over. Times in logs of several VMs are compared as they
// are; clocks of day that differ shift lines against each other.
package report

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/report"
)

type reportCommand struct {
	Log   []string  `arg:"" help:"Logs of the processes." type:"existingfile" name:"log"`
	From  time.Time `help:"Leave out what came before, such as 2026-12-05T02:00:00Z." placeholder:"TIME"`
	Until time.Time `help:"Leave out what came at this time or later." placeholder:"TIME"`
	Plot  string    `help:"Also draw the use of the pools into this PNG file." type:"path" placeholder:"FILE"`
}

// Run prints the report.
func (c *reportCommand) Run(s *session) error {
	b := report.NewBuilder(c.From, c.Until)
	skipped, err := readLogs(c.Log, b.Add)
	if err != nil {
		return err
	}
	r := b.Report()
	if r.Lines == 0 {
		return &exitError{exitNotFound, "no log line is in this time"}
	}
	if c.Plot != "" {
		if err := r.Plot(c.Plot); err != nil {
			return err
		}
	}
	if s.json {
		return s.print(r, "", nil)
	}
	if skipped > 0 {
		fmt.Fprintf(s.out, "%d lines are no log lines\n", skipped)
	}
	return r.Text(s.out)
}

// readLogs passes the lines of all logs to visit, and returns the number of lines that are
// no log lines.
func readLogs(files []string, visit func(*report.Line)) (skipped int, err error) {
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return 0, err
		}
		n, err := report.Read(f, visit)
		if err = errors.CombineErrors(err, f.Close()); err != nil {
			return 0, errors.Wrap(err, name)
		}
		skipped += n
	}
	return skipped, nil
}

// explainFromLogs prints what became of a job or a request. The logs are read twice, since
// the line that names the job of a request may come after others of that job.
func explainFromLogs(s *session, id string, files []string) error {
	var story *report.Story
	for range 2 {
		if story != nil {
			id = story.Job()
		}
		story = report.NewStory(id)
		if _, err := readLogs(files, story.Add); err != nil {
			return err
		}
	}
	if !story.Found() {
		return &exitError{exitNotFound, "no log line is about " + id}
	}
	if s.json {
		return json.NewEncoder(s.out).Encode(map[string]any{"job": story.Job(), "outcome": story.Outcome(), "causes": story.Causes(), "waits": story.Waits()})
	}
	return story.Text(s.out)
}

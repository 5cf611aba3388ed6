package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/process/certificate"
	"github.com/rosemaryloft/rosemaryloft/internal/process/settings"
	"github.com/rosemaryloft/rosemaryloft/pkg/api"
	"github.com/rosemaryloft/rosemaryloft/pkg/client"
)

// command defines the command line: global flags and commands.
type command struct {
	Address []string      `help:"Addresses of entry VMs, tried in turn." env:"ROSEMARYLOFT_ADDRESS" default:"127.0.0.1:8600" placeholder:"HOST:PORT"`
	Control []string      `help:"Addresses of control processes of a cell on a platform, tried in turn, for the commands that say so." env:"ROSEMARYLOFT_CONTROL" placeholder:"HOST:PORT"`
	Key     string        `help:"Secret of your key. Prefer the environment variable or --key-file: other users can see command lines." env:"ROSEMARYLOFT_KEY"`
	KeyFile string        `help:"File that holds the secret of your key." env:"ROSEMARYLOFT_KEY_FILE" type:"path"`
	JSON    bool          `name:"json" help:"Print JSON instead of tables."`
	Timeout time.Duration `help:"How long to try." default:"30s"`
	Request string        `help:"Idempotency-Key of a change, to repeat one whose outcome is unknown. The default is a random one."`

	Teams       teamsCommand       `cmd:"" help:"Workspaces and their limits."`
	Entries     entriesCommand     `cmd:"" help:"Services and queues."`
	Keys        keysCommand        `cmd:"" help:"Keys of callers, upstreams, workers and operators."`
	Workers     workersCommand     `cmd:"" help:"List workers."`
	Upstreams   upstreamsCommand   `cmd:"" help:"List announced runners."`
	Queues      queuesCommand      `cmd:"" help:"List the load of each queue."`
	Load        loadCommand        `cmd:"" help:"Show what waits, what is refused and why, in each pool of a cell on a platform (--control)."`
	Status      statusCommand      `cmd:"" help:"Show the control group and the entry VMs."`
	Members     membersCommand     `cmd:"" help:"Replicas of the control group."`
	Drain       drainCommand       `cmd:"" help:"Keep new tasks from a worker."`
	Undrain     undrainCommand     `cmd:"" help:"Let a worker get new tasks again."`
	Evacuations evacuationsCommand `cmd:"" help:"Evacuated availability zones of a cell on a platform."`
	Use         useCommand         `cmd:"" help:"Show what workspaces have used of the pools, and how that delays their work (--control)."`
	Explain     explainCommand     `cmd:"" help:"Tell why a job is where it is."`
	Report      reportCommand      `cmd:"" help:"Sum up logs of a cell on the platform."`
	Jobs        jobsCommand        `cmd:"" help:"Submit and follow jobs."`
	Authority   authorityCommand   `cmd:"" help:"The private authority and the certificates of processes."`
	Check       checkCommand       `cmd:"" help:"Check a settings file of rosemaryloftd."`
}

// session is the context of one command: the client, the output and its format.
type session struct {
	context.Context
	*client.Client
	control        *client.Control // nil without addresses
	out            io.Writer
	json           bool
	idempotencyKey string // Idempotency-Key of the change that the command makes
	baseVersion    uint64 // version on which that change is based; zero if none
}

// run executes one command line and returns the exit code.
func run(arguments []string, out, errout io.Writer) (code int) {
	var c command
	exited := -1
	parser, err := kong.New(&c, kong.Name("rosemaryctl"),
		kong.Description("Manages a rosemaryloft cell.\n\n"+exitCodesHelp()),
		kong.Writers(out, errout), kong.UsageOnError(),
		kong.Exit(func(code int) { exited = code }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		fmt.Fprintln(errout, "rosemaryctl:", err)
		return exitUsage
	}
	line, err := parser.Parse(arguments)
	if exited >= 0 { // kong has exited, after --help
		return exited
	}
	if err != nil {
		fmt.Fprintln(errout, "rosemaryctl:", err)
		return exitUsage
	}
	s := &session{out: out, json: c.JSON}
	err = c.connect(s)
	if err == nil {
		var cancel context.CancelFunc
		s.Context, cancel = context.WithTimeout(s.Context, c.Timeout)
		defer cancel()
		err = line.Run(s)
	}
	return s.report(err, errout)
}

// connect creates the client and the context of a session. It does not connect yet.
func (c *command) connect(s *session) error {
	key := c.Key
	if key == "" && c.KeyFile != "" {
		b, err := os.ReadFile(c.KeyFile)
		if err != nil {
			return err
		}
		key = strings.TrimSpace(string(b))
	}
	if s.idempotencyKey = c.Request; s.idempotencyKey == "" {
		s.idempotencyKey = rand.Text()
	}
	s.Context = client.WithIdentity(context.Background(), s.idempotencyKey)
	k, err := client.New(client.Options{Addresses: c.Address, Key: key, Timeout: c.Timeout})
	if err != nil {
		return usageError("%v", err)
	}
	s.Client = k
	if len(c.Control) > 0 {
		if s.control, err = client.NewControl(client.Options{Addresses: c.Control, Timeout: c.Timeout}); err != nil {
			return usageError("%v", err)
		}
	}
	return nil
}

// cell returns the client of the control processes of a cell on a platform.
func (s *session) cell() (*client.Control, error) {
	if s.control == nil {
		return nil, usageError("this command needs --control or ROSEMARYLOFT_CONTROL: addresses of control processes of a cell on a platform")
	}
	return s.control, nil
}

// report prints an error, with what the operator needs to retry the command, and
// returns the exit code.
func (s *session) report(err error, errout io.Writer) int {
	code := exitCode(err)
	if err == nil || err.Error() == "" {
		return code
	}
	fmt.Fprintln(errout, "rosemaryctl:", err)
	var e *api.Error
	if errors.As(err, &e) {
		if e.Version > 0 {
			fmt.Fprintln(errout, "current version:", e.Version)
		}
		if code == exitUnknown {
			again := "--request " + s.idempotencyKey
			if s.baseVersion > 0 {
				again += fmt.Sprintf(" --version %d", s.baseVersion)
			}
			fmt.Fprintf(errout, "if this was a change, repeat it with %s to learn its outcome\n", again)
		}
	}
	return code
}

// print writes value as JSON if the session asks for it, and otherwise a table with
// the given rows. Columns are the headings, separated by spaces.
func (s *session) print(value any, columns string, rows [][]any) error {
	if s.json {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		return e.Encode(value)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(columns, " ", "\t"))
	for _, r := range rows {
		for i, cell := range r {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, formatCell(cell))
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// formatCell formats a cell of a table. Empty values become "-", so that scripts can
// split lines at spaces.
func formatCell(cell any) string {
	switch v := cell.(type) {
	case bool:
		if v {
			return "yes"
		}
		return "-"
	case time.Time:
		if v.IsZero() {
			return "-"
		}
		return v.UTC().Format(time.RFC3339)
	case api.Size:
		return formatSize(v)
	case string:
		if v == "" {
			return "-"
		}
		return v
	}
	return fmt.Sprint(cell)
}

// printChange prints the result of a change of the catalogue, or returns its error.
func (s *session) printChange(c api.Changed, err error) error {
	if err != nil {
		return err
	}
	if s.json {
		return s.print(c, "", nil)
	}
	if c.Version > 0 {
		fmt.Fprintf(s.out, "version %d\n", c.Version)
	}
	if c.Secret != "" {
		fmt.Fprintf(s.out, "secret %s\nThe secret is not shown again.\n", c.Secret)
	}
	return nil
}

// printDone handles the outcome of a change that has no result to print.
func (s *session) printDone(err error) error { return s.printChange(api.Changed{}, err) }

type checkCommand struct {
	File string `arg:"" help:"Settings file." type:"path"`
}

// Run checks the file locally.
func (c *checkCommand) Run(s *session) error {
	return checkExit(settings.Check(c.File, time.Now(), s.out))
}

type authorityCommand struct {
	Init  authorityInitCommand  `cmd:"" help:"Make a new authority."`
	Issue authorityIssueCommand `cmd:"" help:"Make the key and certificate of a process, or replace them."`
}

type authorityInitCommand struct {
	Folder string `help:"Where the authority is kept." default:"authority" type:"path"`
}

// Run creates the authority locally.
func (c *authorityInitCommand) Run(s *session) error {
	a, err := certificate.Create(time.Now())
	if err == nil {
		err = a.Write(c.Folder)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s: keep authority.key here; copy authority.pem to every VM\n", c.Folder)
	return nil
}

type authorityIssueCommand struct {
	Name   string `arg:"" help:"Name of the process, as in its settings."`
	Folder string `help:"Where the authority is kept." default:"authority" type:"path"`
}

// Run issues a certificate locally and prints the paths of its files.
func (c *authorityIssueCommand) Run(s *session) error {
	a, err := certificate.Open(c.Folder)
	if err == nil {
		err = a.Issue(c.Folder, c.Name, time.Now())
	}
	if err != nil {
		return err
	}
	files := certificate.PathsIn(c.Folder, c.Name)
	fmt.Fprintf(s.out, "%s\n%s\n", files.Certificate, files.Key)
	return nil
}

package event

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

const page = "../../../docs/events.md"

var update = flag.Bool("update", false, "write docs/events.md from the events")

// groups holds the headings of the page by the hundreds digit of the numbers.
var groups = map[ID]string{
	1: "Process, links and certificates", 2: "Replicated log", 3: "Leader and sessions", 4: "Placement",
	5: "Entry VM's link and runners", 6: "Requests", 7: "Workers", 8: "Operators",
	9: "Jobs with steps, their workers, and the cell", 10: "Evacuation, speed of workers, load and shares",
}

const preface = `# Log events of rosemaryloft

Each log line of the daemon is a JSON object whose field ` + "`event`" + ` is one of these numbers. Search and alert on the
number: the wording of a line may change, its number does not. A test of package ` + "`internal/process/event`" + ` compares this
page with the code. To write it anew, run ` + "`go test ./internal/process/event -run TestPage -update`" + `.
`

func row(k Kind) string {
	return fmt.Sprintf("| %d | %s | %s | %s |", k.ID, k.Name, k.Level, k.Help)
}

func render() string {
	var b strings.Builder
	b.WriteString(preface)
	group := ID(0)
	for _, k := range All() {
		if g := k.ID / 100; g != group {
			group = g
			fmt.Fprintf(&b, "\n## %d00: %s\n\n| event | message | level | meaning |\n|---|---|---|---|\n", g, groups[g])
		}
		b.WriteString(row(k) + "\n")
	}
	return b.String()
}

// Guards against events that the page omits, describes wrongly, or still lists
// after their removal.
func TestPage(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(page, []byte(render()), 0o644))
	}
	content, err := os.ReadFile(page)
	is.NoErr(err)
	listed := regexp.MustCompile(`(?m)^\| \d+ \|.*$`).FindAllString(string(content), -1)
	for i, k := range All() {
		if j := slices.Index(listed, row(k)); j != i {
			t.Errorf("event %d: the page needs as line %d of its tables\n%s", k.ID, i+1, row(k))
		}
	}
	is.Equal(len(listed), len(All()))
	is.Equal(string(content), render())
}

// Guards against help texts that break the table, and against groups without a
// heading.
func TestKinds(t *testing.T) {
	for _, k := range All() {
		if k.Name == "" || k.Help == "" || strings.ContainsAny(k.Name+k.Help, "|\n") || groups[k.ID/100] == "" {
			t.Errorf("event %d cannot stand in the table: %+v", k.ID, k)
		}
	}
}

// Guards against events below the log level that the observer does not see.
func TestObserved(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zapcore.WarnLevel)
	var seen []ID
	l := New(zap.New(core)).Observed(func(id ID, fields []zap.Field) { seen = append(seen, id) })
	l.Emit(RequestPoll, zap.String("worker", "w"))
	l.Emit(LinkLost)
	is.Equal(seen, []ID{RequestPoll, LinkLost})
	is.Equal(lines.Len(), 1)
	is.Equal(lines.All()[0].ContextMap()["event"], int64(LinkLost))
}

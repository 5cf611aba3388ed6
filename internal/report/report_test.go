package report

import (
	"bytes"
	"encoding/json"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// log is a day of three jobs under two leaders, as the processes write it.
const log = `c-1 {"time":"2026-12-05T02:00:00Z","event":930,"msg":"leader takes over","process":"c-1","term":2}
{"time":"2026-12-05T02:00:01Z","event":900,"process":"c-1","request":"e-1-7","job":"aa","queue":"quick","workspace":"depot","steps":1,"tasks":2}
{"time":"2026-12-05T02:00:01.2Z","event":904,"process":"c-1","job":"aa","occurrence":0,"step":0,"workers":["w"],"waiting":0,"waited":"200ms","priority":0}
{"time":"2026-12-05T02:00:02Z","event":924,"process":"c-1","pool":"p","workers":4,"processors":2000,"of":4000,"accelerators":0,"ofAccelerators":8,"waiting":[0,3,1],"idle":{"ticket":500}}
{"time":"2026-12-05T02:00:02.5Z","event":903,"process":"c-1","job":"aa","state":"completed","after":"1.5s","objective":"1s"}
{"time":"2026-12-05T02:00:03Z","event":901,"process":"c-1","request":"e-1-8","job":"bb","path":"/q/bb","code":"busy","reason":"would expire before its turn"}
{"time":"2026-12-05T02:00:03Z","event":953,"process":"e-1","request":"e-1-8","path":"/q/bb","status":429,"error":"would expire before its turn"}
this is no log line
{"time":"2026-12-05T02:00:04Z","event":900,"process":"c-1","request":"e-1-9","job":"cc","queue":"wide","workspace":"clinic","steps":1,"tasks":9}
{"time":"2026-12-05T02:00:05Z","event":909,"process":"c-1","step":"cc.0.0","reason":"no worker has room","tasks":9,"waited":"1s"}
{"time":"2026-12-05T02:00:07Z","event":930,"msg":"leader takes over","process":"c-2","term":3}
{"time":"2026-12-05T02:00:08Z","event":924,"process":"c-2","pool":"p","workers":4,"processors":4000,"of":4000,"accelerators":4,"ofAccelerators":8,"waiting":[0,0,9],"idle":{"ticket":1500}}
{"time":"2026-12-05T02:00:09Z","event":904,"process":"c-2","job":"cc","occurrence":0,"step":0,"workers":["w","v"],"waiting":7,"waited":"5s","priority":2}
{"time":"2026-12-05T02:00:09.5Z","event":908,"process":"c-2","task":"cc.0.0.3","run":1,"worker":"w","reason":"lease ended"}
{"time":"2026-12-05T02:00:10Z","event":918,"process":"c-2","worker":"w"}
{"time":"2026-12-05T02:00:11Z","event":902,"process":"c-2","request":"e-2-1","job":"cc"}
{"time":"2026-12-05T02:00:11Z","event":903,"process":"c-2","job":"cc","state":"cancelled","after":"7s","objective":"60s"}
{"time":"2026-12-05T02:00:12Z","event":962,"process":"c-2","lines":40}
`

func build(is *is.I, from, until time.Time) *Report {
	b := NewBuilder(from, until)
	skipped, err := Read(strings.NewReader(log), b.Add)
	is.NoErr(err)
	is.Equal(skipped, 1)
	return b.Report()
}

// Guards against counts that come from another field or another job, and against a gap
// between leaders that is not seen.
func TestReport(t *testing.T) {
	is := is.New(t)
	r := build(is, time.Time{}, time.Time{})
	is.Equal(r.Lines, 17)
	is.Equal(r.Dropped, 40)
	is.Equal(r.Queues[0], Queue{Name: "quick", Accepted: 1, Completed: 1, Late: 1, Waits: Waits{200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond}})
	is.Equal(r.Queues[1], Queue{Name: "wide", Accepted: 1, Cancelled: 1, Waits: Waits{5 * time.Second, 5 * time.Second, 5 * time.Second}})
	is.Equal(r.Workspaces[0], Workspace{Name: "clinic", Accepted: 1, Longest: 5 * time.Second, Job: "cc"})
	is.Equal(r.Refusals, []Refusal{{"would expire before its turn", 2}})
	is.Equal(r.Leaders[1].Gap, 2*time.Second) // since the last line of the former leader
	is.Equal(r.Workers.Crashed, 1)
	p := r.Pools[0]
	is.Equal(p.Processors, 0.75)
	is.Equal(p.Accelerators, 0.25)
	is.Equal(p.Waiting, 9)
	is.Equal(p.Idle, map[string]int64{"ticket": 1000})
	part := build(is, r.From.Add(4*time.Second), r.From.Add(9*time.Second))
	is.Equal(part.Lines, 4)
	is.Equal(len(part.Queues), 1)
}

// Guards against a report that cannot be read as text, as JSON or as a picture.
func TestForms(t *testing.T) {
	is := is.New(t)
	r := build(is, time.Time{}, time.Time{})
	var out bytes.Buffer
	is.NoErr(r.Text(&out))
	for _, want := range []string{"quick", "would expire before its turn", "75%", "ticket 1.0", "c-2", "2s", "5s"} {
		is.True(strings.Contains(out.String(), want))
	}
	b, err := json.Marshal(r)
	is.NoErr(err)
	var again Report
	is.NoErr(json.Unmarshal(b, &again))
	is.Equal(again.Queues, r.Queues)
	file := filepath.Join(t.TempDir(), "day.png")
	is.NoErr(r.Plot(file))
	f, err := os.Open(file)
	is.NoErr(err)
	defer f.Close()
	picture, err := png.Decode(f)
	is.NoErr(err)
	is.True(picture.Bounds().Dx() > 500)
	is.NoErr((&Report{}).Text(&out))
	is.NoErr((&Report{}).Plot(filepath.Join(t.TempDir(), "empty.png")))
	is.True(r.Plot(filepath.Join(t.TempDir(), "none", "day.png")) != nil)
}

// Guards against a story that names the wrong cause, or that lacks the lines of the job
// that a request handed in.
func TestStories(t *testing.T) {
	is := is.New(t)
	tell := func(id string) *Story {
		s := NewStory(id)
		_, err := Read(strings.NewReader(log), s.Add)
		is.NoErr(err)
		return s
	}
	is.Equal(tell("aa").Outcome(), "completed late: after 1.5s, the objective was 1s")
	is.Equal(tell("bb").Outcome(), "refused, it has not run: would expire before its turn")
	is.Equal(tell("e-1-8").Outcome(), "refused, it has not run: would expire before its turn")
	is.Equal(tell("e-1-9").Job(), "cc")
	is.Equal(tell("cc").Outcome(), "cancelled after 7s")
	is.Equal(tell("cc").Causes(), []string{"a step waited up to 1s: no worker has room", "1 runs lost: lease ended"})
	is.Equal(tell("a").Found(), false)
	var out bytes.Buffer
	is.NoErr(tell("cc").Text(&out))
	is.Equal(strings.Count(out.String(), "\n"), 1+2+6)
}

// Guards against memory that grows with the length of the logs, and against samples that
// lose the ends of a range.
func TestSamplesAreThinned(t *testing.T) {
	is := is.New(t)
	var k thinned[int]
	const n = 10 * maxKept
	for i := range n {
		k.add(i)
	}
	is.True(len(k.items) <= maxKept && len(k.items) >= maxKept/4)
	is.Equal(k.items[0], 0)
	is.True(k.items[len(k.items)-1] >= n-2*k.step)
	for i := 1; i < len(k.items); i++ {
		is.Equal(k.items[i]-k.items[i-1], k.step)
	}
}

// FuzzRead guards against log lines that end the program.
func FuzzRead(f *testing.F) {
	f.Add([]byte(log))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, s := NewBuilder(time.Time{}, time.Time{}), NewStory("aa")
		_, err := Read(bytes.NewReader(b), func(l *Line) { r.Add(l); s.Add(l) })
		if err == nil {
			_ = r.Report().Text(&bytes.Buffer{})
			_ = s.Text(&bytes.Buffer{})
		}
	})
}

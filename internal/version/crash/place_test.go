package crash

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// place returns an address that differs by its number.
func place(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)
}

// Guards against a task that is given up for crashes of one worker where others could run it (rule
// LOST, review/13), and against one that crashes its workers and goes on because they are few.
func TestCrashesOfOneWorkerCountOnce(t *testing.T) {
	for name, c := range map[string]struct {
		able   int
		places []byte // of the crashes, one after the other; zero if not known
		proven bool
	}{
		"two workers":                         {35, []byte{1, 2}, true},
		"one worker twice":                    {35, []byte{1, 1}, false},
		"one worker three times":              {35, []byte{1, 1, 1}, false},
		"one worker twice, and another":       {35, []byte{1, 1, 2}, true},
		"another, and one worker twice":       {35, []byte{2, 1, 1}, true},
		"one worker five times":               {35, []byte{1, 1, 1, 1, 1}, true},
		"the only worker twice":               {1, []byte{1, 1}, true},
		"the only worker, while it is gone":   {0, []byte{1, 1}, true},
		"places that a former leader dropped": {35, []byte{0, 0}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, rate := &Record{}, Rate{Workers: 35, Able: c.able}
			for i, n := range c.places {
				run := i + 1
				r.Started(run)
				is.True(r.Add(run, Evidence{Age: 5 * ms, Most: 30 * ms, Confirmed: true, Suspected: true, Sole: true, Alone: true}))
				if n > 0 {
					r.NotePlace(run, place(n))
					r.NotePlace(run, place(n+100)) // the first one stays
				}
			}
			is.Equal(r.Proven(&rate), c.proven)
		})
	}
}

// Guards against work that crashes all workers that could run it, again and again, because only the first crash of each
// counts where chance explains it (seed 9500 of the soak).
func TestCrashesCountOnceNoWorkerIsLeft(t *testing.T) {
	for able, proven := range map[int]bool{2: true, 3: false} {
		is := is.New(t)
		r, rate := &Record{}, Rate{Workers: able, Able: able, Crashes: 100}
		for i, n := range []byte{1, 2, 1, 1} {
			run := i + 1
			r.Started(run)
			is.True(r.Add(run, Evidence{Age: 5 * ms, Most: 30 * ms, Confirmed: true, Suspected: true, Sole: true, Alone: true}))
			r.NotePlace(run, place(n))
		}
		is.Equal(r.Proven(&rate), proven)
	}
}

// Guards against a long-running task that crashes its workers and never pauses, because each time one more
// crash is taken back.
func TestFewPausesEndEarly(t *testing.T) {
	is := is.New(t)
	r, ended := &Record{}, 0
	for run := 1; run <= 20; run++ {
		r.Started(run)
		r.Add(run, Evidence{Age: 5 * ms, Most: 30 * ms, Confirmed: true, Suspected: true, Alone: run%2 == 0}) // every second one is no proof
		if r.Faulty() {
			r.Pause(at)
		}
		if cleared, early := r.EarlyPause(); early {
			r.Clear(cleared)
			ended++
		}
	}
	is.True(ended <= maxUnlike)
	is.True(r.PausedAt(at))
	_, early := (*Record)(nil).EarlyPause()
	is.True(!early)
}

// Guards against addresses that are kept for crashes that are forgotten, cleared or not known.
func TestPlacesAreThoseOfCrashes(t *testing.T) {
	is := is.New(t)
	r := &Record{}
	r.NotePlace(1, place(1))
	is.Equal(len(r.Addresses()), 0)
	for run := 1; run <= 2*maxRecorded; run++ {
		r.Add(run, Evidence{Confirmed: true})
		r.NotePlace(run, place(byte(run)))
	}
	is.Equal(len(r.Addresses()), maxRecorded)
	r.Clear(2 * maxRecorded)
	is.Equal(len(r.Addresses()), maxRecorded-1)
	is.Equal(len((*Record)(nil).Addresses()), 0)
}

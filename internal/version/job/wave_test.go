package job

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func (m *machine) step(wave int64, vm string, s Stage) {
	m.is.Helper()
	m.apply(Round{Steps: []WaveStep{{Wave: wave, VM: vm, Stage: s, Worker: "a", Life: 1}}})
}

func (m *machine) wave(number int64) (known, finished bool) {
	m.state.View(func(v *View) { known, finished = v.WaveKnown(number) })
	return known, finished
}

// Guards against a wave that is shown as completed before each VM that stays has
// begun, and against a snapshot without its progress.
func TestWaveFinishesOnceAllHaveBegun(t *testing.T) {
	is := is.New(t)
	m := newMachine(is)
	w := Wave{Number: 7, VMs: []string{"x", "y", "z", "x"}, Deadline: start.Add(time.Minute), Limit: 1}
	m.apply(Round{Waves: []Wave{w}})
	m.step(7, "x", Ordered)
	m.step(7, "x", Begun)
	m.step(7, "y", Back) // never begun
	m.step(7, "y", Left)
	m.step(7, "y", Waiting) // listed again
	m.step(7, "z", Left)
	m.step(7, "nobody", Begun)
	m.step(8, "x", Begun)
	b, err := m.state.Snapshot()
	is.NoErr(err)
	m.state = New()
	is.NoErr(m.state.Restore(b))
	known, finished := m.wave(7)
	is.True(known && !finished)
	m.state.View(func(v *View) {
		r := v.Waves.Open[7]
		is.Equal(len(r.VMs), 3)
		is.Equal(r.VMs["x"], WaveVM{Stage: Begun, Worker: "a", Life: 1, Sent: true})
		is.Equal(r.VMs["y"].Stage, Waiting)
		is.Equal(r.Wave.Deadline.UnixMilli(), w.Deadline.UnixMilli())
	})
	m.step(7, "y", Ordered)
	m.step(7, "y", Left)
	m.step(7, "y", Waiting)
	m.state.View(func(v *View) { is.Equal(v.Waves.Open[7].VMs["y"].Stage, Ordered) })
	_, finished = m.wave(7)
	is.True(!finished) // the order may have been lost
	m.step(7, "y", Begun)
	_, finished = m.wave(7)
	is.True(finished)
	m.state.View(func(v *View) { is.Equal(v.Waves.Open[7].Count(Begun), 2) }) // what ran there has yet to be given up
	m.step(7, "x", Back)
	m.step(7, "y", Back)
	m.state.View(func(v *View) { is.Equal(len(v.Waves.Open), 0) })
	known, finished = m.wave(7)
	is.True(known && finished)
}

// Guards against a wave that is sent again and begins anew, and against a VM whose
// stage goes back.
func TestResentWaveChangesNothing(t *testing.T) {
	is := is.New(t)
	m := newMachine(is)
	w := Wave{Number: 1, VMs: []string{"x", "y"}, Limit: 1}
	m.apply(Round{Waves: []Wave{w}})
	m.step(1, "x", Begun)
	m.step(1, "x", Ordered)
	m.apply(Round{Waves: []Wave{{Number: 1, VMs: []string{"q"}, Limit: 9}}})
	m.state.View(func(v *View) {
		is.Equal(v.Waves.Open[1].Count(Begun), 1)
		is.Equal(v.Waves.Open[1].Wave.Limit, 1)
	})
	m.step(1, "y", Begun)
	m.apply(Round{Waves: []Wave{w}})
	known, finished := m.wave(1)
	is.True(known && finished)
}

// Guards against waves that grow the state without end.
func TestWavesAreBounded(t *testing.T) {
	is := is.New(t)
	m := newMachine(is)
	for n := range int64(maxClosedWaves + 10) {
		m.apply(Round{Waves: []Wave{{Number: n, Limit: 1}}}) // without VMs, it is finished at once
	}
	for n := range int64(maxOpenWaves + 10) {
		m.apply(Round{Waves: []Wave{{Number: 1000 + n, VMs: []string{"x"}, Limit: 1}}})
	}
	m.state.View(func(v *View) {
		is.Equal(len(v.Waves.Closed), maxClosedWaves)
		is.Equal(len(v.Waves.Open), maxOpenWaves)
	})
	known, _ := m.wave(9)
	is.True(!known)
	known, _ = m.wave(10)
	is.True(known)
	for _, bad := range []Wave{{VMs: []string{"x"}}, {VMs: []string{""}, Limit: 1}, {VMs: make([]string, maxWaveVMs+1), Limit: 1}} {
		is.True(bad.Check() != nil)
	}
}

package job

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Stage is how far the maintenance of one VM of a wave has come.
type Stage uint8

// Stages of a VM.
const (
	Waiting Stage = iota
	Ordered       // the platform may have been told to begin
	Begun         // the platform has accepted the order
	Back          // listed as up again
	Left          // no longer listed
)

// String returns the stage's name.
func (s Stage) String() string {
	return [...]string{"waiting", "ordered", "begun", "back", "left"}[min(s, Left)]
}

// Wave is a set of VMs that need maintenance.
type Wave struct {
	Number   int64     `cbor:"1,keyasint"`
	VMs      []string  `cbor:"2,keyasint"`
	Deadline time.Time `cbor:"3,keyasint"` // by which all should have begun
	Limit    int       `cbor:"4,keyasint"` // maximum number of VMs down at the same time
}

// Limits on waves. A wave is committed in one round.
const (
	maxWaveVMs       = 2000
	maxVMName        = 64
	maxOpenWaves     = 64
	maxFinishedWaves = 256
)

// Check returns an error if the wave cannot be carried out.
func (w *Wave) Check() error {
	if w.Limit < 1 {
		return errors.Newf("at most %d VMs at a time", w.Limit)
	}
	if len(w.VMs) > maxWaveVMs {
		return errors.Newf("%d VMs are more than %d", len(w.VMs), maxWaveVMs)
	}
	for _, name := range w.VMs {
		if name == "" || len(name) > maxVMName {
			return errors.Newf("%.80q is not the name of a VM", name)
		}
	}
	return nil
}

// WaveVM is the record of one VM of a wave.
type WaveVM struct {
	Stage  Stage       `cbor:"1,keyasint,omitempty"`
	Worker string      `cbor:"2,keyasint,omitempty"` // that ran on it when the first order was decided; empty if none was known
	Life   Incarnation `cbor:"3,keyasint,omitempty"`
}

// WaveRecord is the state of an unfinished wave.
type WaveRecord struct {
	Wave Wave              `cbor:"1,keyasint"`
	VMs  map[string]WaveVM `cbor:"2,keyasint"`
}

// Count returns the number of VMs in any of the stages.
func (r *WaveRecord) Count(stages ...Stage) int {
	n := 0
	for _, m := range r.VMs {
		if slices.Contains(stages, m.Stage) {
			n++
		}
	}
	return n
}

// WaveStep records that a VM of a wave has reached a stage.
type WaveStep struct {
	_      struct{} `cbor:",toarray"`
	Wave   int64
	VM     string
	Stage  Stage
	Worker string // of the stage Ordered
	Life   Incarnation
}

// waves is the state of all waves.
type waves struct {
	Open     map[int64]*WaveRecord `cbor:"1,keyasint,omitempty"`
	Finished []int64               `cbor:"2,keyasint,omitempty"` // the latest ones, in the order in which they finished
}

// WaveKnown reports whether a wave was added, and whether it is finished. Only the
// latest finished waves are known.
func (v *View) WaveKnown(number int64) (known, finished bool) {
	if v.Waves.Open[number] != nil {
		return true, false
	}
	finished = slices.Contains(v.Waves.Finished, number)
	return finished, finished
}

// WavesFull reports whether no further wave can be added.
func (v *View) WavesFull() bool { return len(v.Waves.Open) >= maxOpenWaves }

// addWave adds a wave, unless its number is known.
func (v *View) addWave(w *Wave) {
	if known, _ := v.WaveKnown(w.Number); known || v.WavesFull() {
		return
	}
	r := &WaveRecord{Wave: *w, VMs: make(map[string]WaveVM, len(w.VMs))}
	for _, name := range w.VMs {
		r.VMs[name] = WaveVM{}
	}
	r.Wave.VMs = slices.Sorted(maps.Keys(r.VMs)) // each once
	v.Waves.Open[w.Number] = r
	v.finishWave(r)
}

// advance applies a step of a VM. Steps only go forward, except that a VM which left
// may be listed again before its maintenance has begun.
func (v *View) advance(s *WaveStep) {
	r := v.Waves.Open[s.Wave]
	if r == nil {
		return
	}
	m, ok := r.VMs[s.VM]
	returns := m.Stage == Left && s.Stage == Waiting
	if !ok || s.Stage <= m.Stage && !returns || s.Stage == Back && m.Stage != Begun {
		return
	}
	m.Stage = s.Stage
	if s.Stage == Ordered {
		m.Worker, m.Life = s.Worker, s.Life
	}
	r.VMs[s.VM] = m
	v.finishWave(r)
}

// finishWave finishes a wave once the maintenance of each VM that stays has begun.
func (v *View) finishWave(r *WaveRecord) {
	if r.Count(Waiting, Ordered) > 0 {
		return
	}
	delete(v.Waves.Open, r.Wave.Number)
	v.Waves.Finished = append(v.Waves.Finished, r.Wave.Number)
	if over := len(v.Waves.Finished) - maxFinishedWaves; over > 0 {
		v.Waves.Finished = slices.Clone(v.Waves.Finished[over:])
	}
}

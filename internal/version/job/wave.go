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
	maxWaveVMs     = 2000
	maxVMName      = 64
	maxOpenWaves   = 64
	maxClosedWaves = 256
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
	Sent   bool        `cbor:"4,keyasint,omitempty"` // an order may have been sent
}

// WaveRecord is the state of a wave until all its VMs are back.
type WaveRecord struct {
	Wave Wave              `cbor:"1,keyasint"`
	VMs  map[string]WaveVM `cbor:"2,keyasint"`
}

// Finished reports whether the maintenance of each VM that stays has begun.
func (r *WaveRecord) Finished() bool { return r.Count(Waiting, Ordered) == 0 }

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
	Open   map[int64]*WaveRecord `cbor:"1,keyasint,omitempty"`
	Closed []int64               `cbor:"2,keyasint,omitempty"` // the latest ones, in the order in which they were closed
}

// WaveKnown reports whether a wave was added, and whether it is finished. Of the
// waves whose VMs are all back, only the latest are known.
func (v *View) WaveKnown(number int64) (known, finished bool) {
	if r := v.Waves.Open[number]; r != nil {
		return true, r.Finished()
	}
	closed := slices.Contains(v.Waves.Closed, number)
	return closed, closed
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
	v.closeWave(r)
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
	if !ok || s.Stage <= m.Stage && !returns || s.Stage == Back && m.Stage != Begun || s.Stage == Left && m.Stage >= Begun {
		return
	}
	m.Stage = s.Stage
	if returns && m.Sent {
		m.Stage = Ordered
	}
	if s.Stage == Ordered {
		m.Worker, m.Life, m.Sent = s.Worker, s.Life, true
	}
	r.VMs[s.VM] = m
	v.closeWave(r)
}

// closeWave drops the record of a wave once each VM that stays is back.
func (v *View) closeWave(r *WaveRecord) {
	if r.Count(Waiting, Ordered, Begun) > 0 {
		return
	}
	delete(v.Waves.Open, r.Wave.Number)
	v.Waves.Closed = append(v.Waves.Closed, r.Wave.Number)
	if over := len(v.Waves.Closed) - maxClosedWaves; over > 0 {
		v.Waves.Closed = slices.Clone(v.Waves.Closed[over:])
	}
}

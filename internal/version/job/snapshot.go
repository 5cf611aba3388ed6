package job

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
)

// snapshot is the encoded form of View.
type snapshot struct {
	Term       uint64                 `cbor:"1,keyasint"`
	Catalogue  *Catalogue             `cbor:"2,keyasint"`
	Jobs       []*Record              `cbor:"3,keyasint"`
	Workers    map[string]Worker      `cbor:"4,keyasint"`
	Sequence   uint64                 `cbor:"5,keyasint"`
	Over       []ID                   `cbor:"6,keyasint"`
	Orphans    []orphanRecord         `cbor:"7,keyasint,omitempty"`
	Limits     limits                 `cbor:"8,keyasint,omitempty"`
	Waves      waves                  `cbor:"9,keyasint"`
	Withdrawn  []withdrawalRecord     `cbor:"10,keyasint,omitempty"`
	Updated    time.Time              `cbor:"11,keyasint"`
	Unanswered map[string]time.Time   `cbor:"12,keyasint,omitempty"`
	Crashes    []PoolCrash            `cbor:"14,keyasint,omitempty"`
	Evacuated  map[string]time.Time   `cbor:"15,keyasint,omitempty"`
	Speeds     map[string]WorkerSpeed `cbor:"16,keyasint,omitempty"`
	Uses       []Use                  `cbor:"17,keyasint,omitempty"`
}

// Snapshot implements raft.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v := &s.view
	d := snapshot{Term: v.Term, Catalogue: v.Catalogue, Workers: v.Workers, Sequence: v.Sequence, Over: v.finished, Limits: v.Limits, Waves: v.Waves, Updated: v.Updated, Unanswered: v.Unanswered, Crashes: v.PoolCrashes, Evacuated: v.Evacuated, Speeds: v.Speeds, Uses: v.uses()}
	for _, r := range v.Jobs {
		d.Jobs = append(d.Jobs, r)
	}
	slices.SortFunc(d.Jobs, func(a, b *Record) int { return int(int64(a.Sequence) - int64(b.Sequence)) })
	d.Orphans, d.Withdrawn = v.orphanRecords(), v.withdrawn.order
	b, err := codec.Encode(d)
	return b, errors.Wrap(err, "encode snapshot")
}

// Restore implements raft.StateMachine.
func (s *State) Restore(b []byte) error {
	var d snapshot
	if err := codec.Decode(b, &d); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	if err := d.check(); err != nil {
		return errors.Wrap(err, "snapshot")
	}
	v := View{}
	v.init()
	v.Term, v.Catalogue, v.Sequence, v.finished, v.Updated = d.Term, d.Catalogue, d.Sequence, d.Over, d.Updated
	v.PoolCrashes = d.Crashes
	for id, w := range d.Workers {
		v.Workers[id] = w
	}
	maps.Copy(v.Limits, d.Limits)
	maps.Copy(v.Unanswered, d.Unanswered)
	maps.Copy(v.Evacuated, d.Evacuated)
	maps.Copy(v.Speeds, d.Speeds)
	for _, u := range d.Uses {
		v.Uses[UseKey{u.Workspace, u.Pool}] = u
	}
	maps.Copy(v.Waves.Open, d.Waves.Open)
	v.Waves.Closed = d.Waves.Closed
	if v.Catalogue != nil {
		v.Catalogue.Normalize()
		v.addLimits(v.Catalogue) // snapshots of earlier builds have no limits
	}
	for _, r := range d.Jobs {
		r.Job.normalize()
		v.Jobs[r.Job.ID] = r
		if !r.Status.Final() || len(r.Open) > 0 {
			v.Active[r.Job.ID] = r
		}
		r.Unscheduled = r.unscheduled()
		for _, n := range r.OpenOccurrences() {
			v.restoreReservations(r, n)
		}
	}
	for _, r := range d.Jobs {
		if r.invalid() {
			v.giveUpInvalid(r)
		}
	}
	for _, o := range d.Orphans {
		v.putOrphan(o.Worker, o.ID, o.Orphan)
	}
	for _, r := range d.Withdrawn {
		v.withdrawn.add(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
	return nil
}

// restoreReservations rebuilds the reservations of an occurrence's runs.
func (v *View) restoreReservations(r *Record, number int) {
	o := r.Open[number]
	for step := range o.Steps {
		for i := range o.Steps[step].Tasks {
			if t := &o.Steps[step].Tasks[i]; t.Worker != "" {
				v.reserve(r, TaskID{Job: r.Job.ID, Occurrence: number, Step: step, Index: i}, t)
			}
		}
	}
}

// check returns an error if the parts of the snapshot do not fit together.
func (d *snapshot) check() error {
	known := map[ID]bool{}
	for i, r := range d.Jobs {
		if r == nil || r.Job.ID == "" || known[r.Job.ID] || r.Status > Cancelled {
			return errors.Newf("job %d has no record, no ID, the ID of another job or an unknown state", i)
		}
		known[r.Job.ID] = true
		if err := r.check(); err != nil {
			return errors.Wrapf(err, "job %s", r.Job.ID)
		}
	}
	return nil
}

// invalid reports whether the record is of a job that an earlier build has accepted and that cannot be
// run. No part of it has begun.
func (r *Record) invalid() bool {
	return len(r.Open)+len(r.Finished) == 0 && r.Behind == 0 && r.Job.checkSteps() != nil
}

// check returns an error if the state of the job does not fit its steps.
func (r *Record) check() error {
	if r.invalid() {
		return nil
	}
	if err := r.Job.checkSteps(); err != nil {
		return err
	}
	for number, o := range r.Open {
		if o == nil || number < 0 || number >= r.Job.Occurrences() || len(o.Steps) != len(r.Job.Steps) {
			return errors.Newf("occurrence %d is out of range or has other steps than the job", number)
		}
		for i := range o.Steps {
			if p, n := &o.Steps[i], r.Job.Steps[i].Count; len(p.Tasks) != n || p.Left < 0 || p.Left > n {
				return errors.Newf("step %d has %d tasks and %d left, want %d", i, len(p.Tasks), p.Left, n)
			}
		}
	}
	return nil
}

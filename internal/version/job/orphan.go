package job

import (
	"cmp"
	"slices"
	"strings"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// Orphan is a run that was given up although its worker may still execute it. Its
// task may start elsewhere. Until the worker can no longer execute the run, it
// counts against the capacity of the worker and the limit of its workspace.
type Orphan struct {
	Reserved  work.Resources `cbor:"1,keyasint"` // on the worker
	Size      work.Resources `cbor:"2,keyasint"`
	Workspace string         `cbor:"3,keyasint"`
}

// OrphanID identifies an orphan among those of a worker.
type OrphanID struct {
	_    struct{} `cbor:",toarray"`
	Task TaskID
	Run  int
	Life Incarnation
}

// orphanRecord is the encoded form of an orphan.
type orphanRecord struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	ID     OrphanID
	Orphan Orphan
}

// addOrphan records that a run was given up. It ignores runs of jobs that are not
// known, whose size nobody can tell any more, and of incarnations that have ended.
func (v *View) addOrphan(s *Start) {
	r := v.Jobs[s.Task.Job]
	w, ok := v.Workers[s.Worker]
	if r == nil || !ok || w.Life != s.Life || s.Task.Step < 0 || s.Task.Step >= len(r.Job.Steps) {
		return
	}
	id := OrphanID{Task: s.Task, Run: s.Run, Life: s.Life}
	if _, known := v.Orphans[s.Worker][id]; known {
		return
	}
	step := &r.Job.Steps[s.Task.Step]
	v.putOrphan(s.Worker, id, Orphan{Reserved: step.Reservation(), Size: step.Size, Workspace: r.Job.Workspace})
}

func (v *View) putOrphan(worker string, id OrphanID, o Orphan) {
	m := v.Orphans[worker]
	if m == nil {
		m = map[OrphanID]Orphan{}
		v.Orphans[worker] = m
	}
	m[id] = o
	v.Changes[worker]++
	v.use(o.Workspace, o.Size)
}

// dropOrphan drops an orphan that its worker can no longer execute.
func (v *View) dropOrphan(worker string, id OrphanID) {
	o, known := v.Orphans[worker][id]
	if !known {
		return
	}
	delete(v.Orphans[worker], id)
	if len(v.Orphans[worker]) == 0 {
		delete(v.Orphans, worker)
	}
	v.Changes[worker]++
	v.unuse(o.Workspace, o.Size)
}

// dropOrphans drops the orphans of an incarnation that has ended.
func (v *View) dropOrphans(worker string, life Incarnation) {
	for id := range v.Orphans[worker] {
		if id.Life == life {
			v.dropOrphan(worker, id)
		}
	}
}

// orphanRecords returns the orphans in an order that is the same on each replica.
func (v *View) orphanRecords() []orphanRecord {
	var list []orphanRecord
	for worker, m := range v.Orphans {
		for id, o := range m {
			list = append(list, orphanRecord{Worker: worker, ID: id, Orphan: o})
		}
	}
	slices.SortFunc(list, func(a, b orphanRecord) int {
		if c := strings.Compare(a.Worker, b.Worker); c != 0 {
			return c
		}
		if c := strings.Compare(a.ID.Task.String(), b.ID.Task.String()); c != 0 {
			return c
		}
		return cmp.Compare(a.ID.Run, b.ID.Run)
	})
	return list
}

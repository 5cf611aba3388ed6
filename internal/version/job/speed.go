package job

// WorkerSpeed is the normal speed of one incarnation of a worker, as a multiple of the usual
// one of its pool.
type WorkerSpeed struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Life   Incarnation
	Factor float64
}

// noteSpeeds records the speeds of workers that are known.
func (v *View) noteSpeeds(list []WorkerSpeed) {
	for _, s := range list {
		if w, known := v.Workers[s.Worker]; known && w.Life == s.Life && s.Factor > 0 {
			v.Speeds[s.Worker] = s
		}
	}
}

// dropSpeed drops the speed of an incarnation that has ended.
func (v *View) dropSpeed(worker string, life Incarnation) {
	if v.Speeds[worker].Life == life {
		delete(v.Speeds, worker)
	}
}

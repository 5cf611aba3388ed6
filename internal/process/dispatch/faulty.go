package dispatch

import (
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
	"github.com/rosemaryloft/rosemaryloft/internal/version/raft"
)

// A round that cannot be encoded, or decoded again, fails with everything in it. What is put
// back into the next rounds would make these fail too, without an end.

const (
	// maxItem is the largest encoded size of an entry of a round, which has others beside it.
	maxItem = maxRoundInput / 4
	// maxCatalogue is that of a catalogue, which has a round of its own if it is large. It
	// leaves room for the rest of a round.
	maxCatalogue = raft.MaxCommand - 16<<10
)

// holds returns an error if the log cannot hold a round, or the round is larger than limit.
// No submission and no catalogue enters a round without this check.
func holds(r job.Round, limit int) error {
	b, err := job.Encode(r)
	if err == nil && len(b) > limit {
		err = errors.Newf("%d bytes are more than %d", len(b), limit)
	}
	return err
}

// dropFaulty drops the input of a failed round that no round can hold. Decoders of messages
// refuse such input; this is for what they let pass.
func (t *term) dropFaulty(in *inbox) {
	dropItems(t, "worker", &in.workers, func(i []job.Worker) job.Round { return job.Round{Workers: i} })
	dropItems(t, "ended worker", &in.gone, func(i []job.Worker) job.Round { return job.Round{Gone: i} })
	dropItems(t, "crash", &in.crashes, func(i []job.Crash) job.Round { return job.Round{Crashes: i} })
	dropItems(t, "place of a crash", &in.places, func(i []job.Place) job.Round { return job.Round{Places: i} })
	dropItems(t, "adopted run", &in.adopted, func(i []job.Start) job.Round { return job.Round{Adopted: i} })
	dropItems(t, "trial", &in.confirmed, func(i []job.Start) job.Round { return job.Round{Confirmed: i} })
	dropItems(t, "cleared run", &in.cleared, func(i []job.Start) job.Round { return job.Round{Cleared: i} })
	dropItems(t, "end", &in.ends, func(i []job.End) job.Round { return job.Round{Ends: i} })
	dropItems(t, "orphan", &in.orphans, func(i []job.Start) job.Round { return job.Round{Orphans: i} })
	dropItems(t, "settled orphan", &in.settled, func(i []job.Start) job.Round { return job.Round{Settled: i} })
}

// dropItems drops the items that no round can hold.
func dropItems[T any](t *term, kind string, items *[]T, round func([]T) job.Round) {
	if _, err := job.Encode(round(*items)); err == nil {
		return
	}
	var kept []T
	for _, i := range *items {
		if err := holds(round([]T{i}), maxItem); err != nil {
			t.emit(event.EntryDropped, zap.String("kind", kind), zap.Any("entry", i), event.Cause(err))
			continue
		}
		kept = append(kept, i)
	}
	*items = kept
}

package job

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
)

// Start records that a run of a task starts on a worker.
type Start struct {
	_      struct{} `cbor:",toarray"`
	Task   TaskID
	Run    int
	Worker string
	Life   Incarnation
}

// End records that a run has ended.
type End struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskID
	Run     int
	Worker  string
	Life    Incarnation
	Outcome Outcome
	Saved   string // latest checkpoint; empty if none
}

// Round is the only command of the replicated log. It holds everything that the
// leader decided and learned since the previous round.
type Round struct {
	Term      uint64       `cbor:"1,keyasint"` // of the leader that proposed the round
	Now       time.Time    `cbor:"2,keyasint"`
	Lead      bool         `cbor:"3,keyasint,omitempty"` // first round of the term; rounds of earlier terms are refused from now on
	Catalogue *Catalogue   `cbor:"4,keyasint,omitempty"`
	Workers   []Worker     `cbor:"5,keyasint,omitempty"` // new or changed
	Gone      []Worker     `cbor:"6,keyasint,omitempty"` // incarnations that have ended
	Ends      []End        `cbor:"7,keyasint,omitempty"`
	Cancels   []ID         `cbor:"8,keyasint,omitempty"`
	Submits   []Job        `cbor:"9,keyasint,omitempty"`
	Starts    []Start      `cbor:"10,keyasint,omitempty"`
	Forget    time.Time    `cbor:"11,keyasint"`           // jobs that finished before this time are dropped
	Settled   []Start      `cbor:"12,keyasint,omitempty"` // orphans that their workers can no longer execute
	Orphans   []Start      `cbor:"13,keyasint,omitempty"` // runs that were given up and that their workers may still execute
	Waves     []Wave       `cbor:"14,keyasint,omitempty"`
	Steps     []WaveStep   `cbor:"15,keyasint,omitempty"` // of the VMs of waves
	Crashes   []Crash      `cbor:"16,keyasint,omitempty"`
	Confirmed []Start      `cbor:"17,keyasint,omitempty"` // trials that their workers execute
	Withdrawn []Withdrawal `cbor:"18,keyasint,omitempty"` // cancellations of jobs that are not known
	Cleared   []Start      `cbor:"19,keyasint,omitempty"` // runs whose workers crashed in common with others
	Faulty    []Start      `cbor:"20,keyasint,omitempty"` // runs whose tasks are given up if they still look faulty or have no attempt left
	Unclear   []Start      `cbor:"21,keyasint,omitempty"` // runs with a copy of their start without an answer
	Retried   []Start      `cbor:"22,keyasint,omitempty"` // runs whose tasks look faulty and are tried once more
	Replaced  []string     `cbor:"23,keyasint,omitempty"` // workers at whose addresses others answer, which refuse all copies of starts
	Lost      []PoolCrash  `cbor:"24,keyasint,omitempty"` // workers that crashed

	Evacuations []Evacuation  `cbor:"25,keyasint,omitempty"` // in the order in which they arrived; no starts are in the same round
	Speeds      []WorkerSpeed `cbor:"26,keyasint,omitempty"`
	Uses        []Use         `cbor:"27,keyasint,omitempty"`
	Sendings    []Sending     `cbor:"28,keyasint,omitempty"` // of Starts; missing in rounds of earlier builds
	Places      []Place       `cbor:"29,keyasint,omitempty"` // of Crashes, or of those of earlier rounds
	Adopted     []Start       `cbor:"30,keyasint,omitempty"` // runs of earlier leaders whose start is not settled
}

// sending returns how a start of the round is sent.
func (r *Round) sending(i int) Sending {
	if i < len(r.Sendings) {
		return r.Sendings[i]
	}
	return SendCopies
}

// Empty reports whether the round changes nothing.
func (r *Round) Empty() bool {
	return !r.Lead && r.Catalogue == nil && len(r.Workers)+len(r.Gone)+len(r.Ends)+len(r.Cancels)+len(r.Submits)+len(r.Starts)+len(r.Settled)+len(r.Orphans)+len(r.Waves)+len(r.Steps)+len(r.Crashes)+len(r.Confirmed)+len(r.Withdrawn)+len(r.Cleared)+len(r.Faulty)+len(r.Unclear)+len(r.Retried)+len(r.Replaced)+len(r.Lost)+len(r.Evacuations)+len(r.Speeds)+len(r.Uses)+len(r.Places)+len(r.Adopted) == 0
}

// Result is the outcome of applying a round.
type Result struct {
	Superseded bool    // a later term has begun, so nothing was applied
	Refused    []bool  // for each of Starts, whether it was not applied
	Ended      []ID    // jobs that reached a final state
	GivenUp    []Start // those of Faulty that looked faulty and ended the job of their task
}

// Encode encodes a round for the log. It fails if Decode would, because a round that no
// replica can decode is not applied.
func Encode(r Round) ([]byte, error) {
	b, err := codec.Encode(r)
	if err == nil {
		_, err = Decode(b)
	}
	return b, errors.Wrap(err, "encode round")
}

// Decode decodes a round.
func Decode(b []byte) (Round, error) {
	var r Round
	err := codec.Decode(b, &r)
	return r, errors.Wrap(err, "decode round")
}

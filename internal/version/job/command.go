package job

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
)

// Start orders a run of a task on a worker.
type Start struct {
	_      struct{} `cbor:",toarray"`
	Task   TaskID
	Run    int
	Worker string
	Life   Life
}

// End reports that a run is over.
type End struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskID
	Run     int
	Worker  string
	Life    Life
	Outcome Outcome
	Saved   string // latest checkpoint; empty if there is none
}

// Round is the only command: everything that the leader decided and learned
// since its previous one, in the order in which it is applied.
type Round struct {
	Term      uint64     `cbor:"1,keyasint"` // of the leader that decided
	Now       time.Time  `cbor:"2,keyasint"`
	Lead      bool       `cbor:"3,keyasint,omitempty"` // the term begins; rounds of earlier ones are refused from now on
	Catalogue *Catalogue `cbor:"4,keyasint,omitempty"`
	Workers   []Worker   `cbor:"5,keyasint,omitempty"` // new or changed
	Gone      []Worker   `cbor:"6,keyasint,omitempty"` // lives that are over
	Ends      []End      `cbor:"7,keyasint,omitempty"`
	Cancels   []ID       `cbor:"8,keyasint,omitempty"`
	Submits   []Job      `cbor:"9,keyasint,omitempty"`
	Starts    []Start    `cbor:"10,keyasint,omitempty"`
	Forget    time.Time  `cbor:"11,keyasint"` // jobs that ended before this are dropped
}

// Empty reports whether the round changes nothing.
func (r *Round) Empty() bool {
	return !r.Lead && r.Catalogue == nil && len(r.Workers)+len(r.Gone)+len(r.Ends)+len(r.Cancels)+len(r.Submits)+len(r.Starts) == 0
}

// Result is the outcome of a round.
type Result struct {
	Superseded bool   // a later term has begun; nothing was applied
	Refused    []bool // for each of Starts, whether the task is no longer to be started so
	Ended      []ID   // jobs that took a final state
}

// Encode encodes a round for the log.
func Encode(r Round) ([]byte, error) {
	b, err := codec.Encode(r)
	return b, errors.Wrap(err, "encode round")
}

// Decode decodes a round.
func Decode(b []byte) (Round, error) {
	var r Round
	err := codec.Decode(b, &r)
	return r, errors.Wrap(err, "decode round")
}

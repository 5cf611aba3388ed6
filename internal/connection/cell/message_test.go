package cell

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/roundtrip"
	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
	"github.com/rosemaryloft/rosemaryloft/internal/version/job"
)

// Guards against a message that changes on its way, such as a due time that lost its milliseconds, so
// that work started up to a second early (rule ORDER, issue 52).
func TestMessagesArriveAsTheyWere(t *testing.T) {
	roundtrip.Check(t,
		Call{}, Verdict{}, Document{}, []Report{}, Receipt{}, Receipts{}, Leave{}, AdviceQuery{}, Advice{}, Leader{}, Ping{}, Who{}, Relay{}, Mark{}, Stamp{},
		job.Catalogue{}, job.Wave{}, int64(0))
}

// Guards against an update during which processes of two builds do not understand each other's times: those
// of earlier builds encode whole seconds.
func TestTimesOfEarlierBuildsAreRead(t *testing.T) {
	is := is.New(t)
	due := time.UnixMilli(1_790_000_000_900)
	old, err := cbor.Marshal(Call{Job: &job.Job{First: due}})
	is.NoErr(err)
	var c Call
	is.NoErr(codec.DecodeMessage(old, &c))
	is.Equal(c.Job.First.Unix(), due.Unix())
	b, err := codec.Encode(Call{Job: &job.Job{First: due}})
	is.NoErr(err)
	is.NoErr(cbor.Unmarshal(b, &c)) // as they decode
	is.True(c.Job.First.Equal(due))
}

package raft

import (
	crypto "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/boottime"
	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// Defaults of Options.
const (
	defaultSnapshotEntries = 50_000
	defaultSnapshotBytes   = 64 << 20
	defaultTrailing        = 5000
	defaultElection        = 500 * time.Millisecond
)

// Options configures a replica.
type Options struct {
	// Name is the replica's name in the settings.
	Name string
	// Members are the names of control replicas in the settings. They found the
	// group, all of them together unless First is set. Afterwards they are only the names that
	// this replica asks first for the present members; SetContacts adds others.
	Members []string
	// First means that the whole system starts for the first time, with empty disks. A
	// majority of the members then founds the group.
	First bool
	// Founded means that the system was started before, so that an empty disk is a lost or
	// an additional one and this replica founds nothing.
	Founded bool
	// Open admits replicas whose names are not among the members. It is for
	// platforms that give replacement VMs new names, which settings cannot list
	// in advance.
	Open bool
	// Directory is the data directory. It is ignored if Store is set.
	Directory string
	// Store is used in place of the data directory. The replica closes it.
	Store     disk.Store
	Machine   StateMachine
	Transport Transport
	// Now returns the time on a clock that counts suspensions of the VM, because the
	// lease is over for the other replicas while this one is suspended. It defaults to
	// boottime.Now.
	Now func() time.Time
	// Started is when this process started. The replica's previous process had
	// ended by then, so no lease that relies on its answers is valid for longer
	// than an election timeout after it. It is a time of Now, and defaults to the time
	// of New.
	Started time.Time
	// Election is the shortest election timeout. For this long, a replica that
	// heard from a leader refuses to vote, and a leader without a quorum does not
	// step down. The lease and the heartbeat interval are fractions of it. It must
	// be several times the round trip and the usual disk sync. It defaults to
	// 500 ms.
	Election time.Duration
	// Spread is the range of random election timeouts above the shortest. It
	// defaults to Election.
	Spread time.Duration
	// Random draws election timeouts. By default it is seeded by the system.
	Random *rand.Rand
	Log    event.Log
	// SnapshotEntries and SnapshotBytes are the number of applied entries and
	// the size of their commands after which a snapshot is taken. If the latest
	// snapshot was larger than SnapshotBytes, its size counts. A leader takes
	// half as many snapshots by size.
	SnapshotEntries uint64
	SnapshotBytes   int
	// Trailing is the number of entries kept behind a snapshot, so that a replica
	// that lags slightly does not need a snapshot.
	Trailing uint64

	hooks testHooks
}

func (o *Options) setTimingDefaults() {
	if o.Election == 0 {
		o.Election = defaultElection
	}
	if o.Spread == 0 {
		o.Spread = o.Election
	}
}

// validate fills in defaults and returns all errors found.
func (o *Options) validate() error {
	var err error
	if o.Name == "" {
		err = errors.CombineErrors(err, errors.New("raft: Name is empty"))
	}
	if o.Machine == nil {
		err = errors.CombineErrors(err, errors.New("raft: Machine is nil"))
	}
	if o.Transport == nil && !(len(o.Members) == 1 && o.Members[0] == o.Name) {
		err = errors.CombineErrors(err, errors.New("raft: Transport is nil"))
	}
	if o.Store == nil && o.Directory == "" {
		err = errors.CombineErrors(err, errors.New("raft: Directory is empty and Store is nil"))
	}
	if sorted := slices.Sorted(slices.Values(o.Members)); len(slices.Compact(sorted)) != len(o.Members) {
		err = errors.CombineErrors(err, errors.New("raft: Members contains a name twice"))
	}
	if !o.Open && !slices.Contains(o.Members, o.Name) {
		err = errors.CombineErrors(err, errors.Newf("raft: Name %q is not in Members", o.Name))
	}
	if o.Election < 0 || o.Spread < 0 {
		err = errors.CombineErrors(err, errors.New("raft: Election or Spread is negative"))
	}
	if o.Now == nil {
		o.Now = boottime.Now
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = defaultSnapshotBytes
	}
	if o.Trailing == 0 {
		o.Trailing = defaultTrailing
	}
	o.setTimingDefaults()
	if o.Random == nil {
		var seed [16]byte
		if _, e := crypto.Read(seed[:]); e != nil {
			return errors.CombineErrors(err, errors.Wrap(e, "raft: seed random generator"))
		}
		o.Random = rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
	}
	return err
}

package raft

import (
	crypto "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

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

// Options are the settings of a replica.
type Options struct {
	// Name is the replica's name in the settings.
	Name string
	// Members are the names of all control replicas in the settings. The first
	// one founds the group.
	Members []string
	// Open admits replicas whose names are not among the members. A platform
	// that replaces VMs gives them names that no settings can know.
	Open bool
	// Directory is the data directory. It is ignored if Store is set.
	Directory string
	// Store replaces the data directory. The replica closes it.
	Store     disk.Store
	Machine   Machine
	Transport Transport
	// Now returns the time with a monotonic clock reading. The default is time.Now.
	Now func() time.Time
	// Started is when this process began. An earlier process of the replica had
	// ended by then, so that no lease counts on it for much longer. The default
	// is the time of New.
	Started time.Time
	// Election is the shortest election timeout. For as long, a replica that heard
	// from a leader refuses to vote, and a leader without a quorum does not step
	// down; leases and heartbeats are fractions of it. It is several times the
	// round trip and the usual sync of a disk. The default is 500 ms.
	Election time.Duration
	// Spread is the range of election timeouts above the shortest. The default
	// is Election.
	Spread time.Duration
	// Random draws election timeouts. The default is seeded by the system.
	Random *rand.Rand
	Log    event.Log
	// SnapshotEntries and SnapshotBytes are the number of applied entries and
	// the bytes of their commands after which a snapshot is taken.
	SnapshotEntries uint64
	SnapshotBytes   int
	// Trailing is the number of entries kept behind a snapshot, so that a
	// replica that is slightly behind needs no snapshot.
	Trailing uint64

	hooks hooks
}

func (o *Options) defaultTiming() {
	if o.Election == 0 {
		o.Election = defaultElection
	}
	if o.Spread == 0 {
		o.Spread = o.Election
	}
}

// check fills in defaults and returns all findings.
func (o *Options) check() error {
	var err error
	if o.Name == "" {
		err = errors.CombineErrors(err, errors.New("raft: no name"))
	}
	if o.Machine == nil {
		err = errors.CombineErrors(err, errors.New("raft: no machine"))
	}
	if o.Transport == nil && !(len(o.Members) == 1 && o.Members[0] == o.Name) {
		err = errors.CombineErrors(err, errors.New("raft: no transport"))
	}
	if o.Store == nil && o.Directory == "" {
		err = errors.CombineErrors(err, errors.New("raft: no data directory"))
	}
	if sorted := slices.Sorted(slices.Values(o.Members)); len(slices.Compact(sorted)) != len(o.Members) {
		err = errors.CombineErrors(err, errors.New("raft: a member is named twice"))
	}
	if !slices.Contains(o.Members, o.Name) {
		err = errors.CombineErrors(err, errors.Newf("raft: %q is not among the members", o.Name))
	}
	if o.Election < 0 || o.Spread < 0 {
		err = errors.CombineErrors(err, errors.New("raft: a negative election timeout"))
	}
	if o.Now == nil {
		o.Now = time.Now
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
	o.defaultTiming()
	if o.Random == nil {
		var seed [16]byte
		if _, e := crypto.Read(seed[:]); e != nil {
			return errors.CombineErrors(err, errors.Wrap(e, "raft: draw seed"))
		}
		o.Random = rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[:8]), binary.LittleEndian.Uint64(seed[8:])))
	}
	return err
}

// Package disk keeps what one replica of the log must not lose: its identity,
// its term and vote, the log entries and the latest snapshot.
//
// # Usage
//
//	store, err := disk.Open("data/log")
//	contents, err := store.Load()
//	err = store.Append(disk.Batch{Hard: &hard, Entries: entries})
//	err = store.Sync() // one sync for everything appended since the last one
//	err = store.SaveSnapshot(snapshot)
//	err = store.Compact(snapshot.Index)
//
// # Files
//
// A data directory holds these files:
//
//	lock                    held with flock by the process that uses the directory
//	identity                the random number of this disk
//	wal-<sequence>          a segment of the write-ahead log
//	snapshot-<index>        the latest snapshot
//	*.tmp                   an unfinished file, removed at start
//
// A segment is a sequence of records. A record holds everything between two
// syncs, carries a sequence number without gaps and a CRC-32C. A record is
// written only after the previous one was synced, so a crash can damage only
// the last record. Open cuts a damaged last record. A damaged record that is
// followed by a valid one is reported as ErrDamaged, and so are missing
// segments, a damaged snapshot and a missing identity. Damage within the last
// record cannot be told from an interrupted write.
//
// The first record of each segment repeats term and vote, so that older
// segments can be removed once a snapshot covers their entries.
package disk

import "github.com/cockroachdb/errors"

// Errors of a store.
var (
	// ErrDamaged tells that synced data is missing or fails its checksum.
	ErrDamaged = errors.New("data on disk is damaged")
	// ErrLocked tells that another process uses the directory.
	ErrLocked = errors.New("data directory is in use by another process")
)

// Hard is the state a replica must sync before it answers a vote request.
type Hard struct {
	Term uint64
	Vote uint64 // identity voted for in Term; zero if none
}

// Kind tells how an entry is applied.
type Kind uint8

// Kinds of entries.
const (
	Command    Kind = iota // a command of the state machine
	Empty                  // the first entry of a term
	Membership             // a new set of members
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64 `cbor:"1,keyasint,omitempty"`
	Term  uint64 `cbor:"2,keyasint,omitempty"`
	Kind  Kind   `cbor:"3,keyasint,omitempty"`
	Data  []byte `cbor:"4,keyasint,omitempty"`
}

// Snapshot is the encoded state machine as of one entry.
type Snapshot struct {
	Index      uint64 // last entry covered
	Term       uint64 // term of that entry
	Membership []byte // encoded members as of that entry
	Data       []byte // encoded state machine
}

// Position names an entry.
type Position struct {
	Index uint64
	Term  uint64
}

// Batch is appended to the log as a unit.
type Batch struct {
	Hard    *Hard     // new term and vote; nil if unchanged
	Reset   *Position // if set, all entries are dropped and the log continues after this position
	Entries []Entry   // consecutive entries; those stored at and after the first index are replaced
}

// Contents is what a store holds at start.
type Contents struct {
	Hard     Hard
	Snapshot Snapshot // zero if none; Load leaves its Data out
	Entries  []Entry  // consecutive; may begin before the snapshot's index, and reach it
}

// Store is the durable state of one replica. Append and Sync are called from
// one goroutine; SaveSnapshot, LoadSnapshot and Compact may be called at the
// same time from another one.
type Store interface {
	// Identity returns the random number of this disk. It is never zero.
	Identity() uint64
	// Load returns what was synced.
	Load() (Contents, error)
	// Append adds a batch that becomes durable with the next Sync.
	Append(batch Batch) error
	// Sync makes all appended batches durable.
	Sync() error
	// SaveSnapshot makes a snapshot durable and removes older ones. It ignores
	// a snapshot older than the stored one.
	SaveSnapshot(snapshot Snapshot) error
	// LoadSnapshot returns the latest snapshot; zero if there is none.
	LoadSnapshot() (Snapshot, error)
	// Compact allows the store to drop entries up to an index that a stored
	// snapshot covers.
	Compact(index uint64) error
	// Close releases the store without a sync.
	Close() error
}

// merge adds a batch to the contents as a replay does.
func (c *Contents) merge(batch Batch) error {
	if batch.Hard != nil {
		c.Hard = *batch.Hard
	}
	if batch.Reset != nil {
		c.Entries = nil
	}
	if len(batch.Entries) == 0 {
		return nil
	}
	first := batch.Entries[0].Index
	if len(c.Entries) > 0 {
		start, end := c.Entries[0].Index, c.Entries[len(c.Entries)-1].Index
		switch {
		case first > end+1:
			return errors.Wrapf(ErrDamaged, "entry %d follows entry %d", first, end)
		case first <= start:
			c.Entries = nil
		default:
			c.Entries = c.Entries[:first-start]
		}
	}
	c.Entries = append(c.Entries, batch.Entries...)
	return nil
}

// align drops entries that the snapshot replaces. A crash between saving a
// received snapshot and resetting the log leaves entries that do not lead to
// the snapshot.
func (c *Contents) align() error {
	if len(c.Entries) == 0 {
		return nil
	}
	first, last := c.Entries[0].Index, c.Entries[len(c.Entries)-1].Index
	s := c.Snapshot
	switch {
	case first > s.Index+1:
		return errors.Wrapf(ErrDamaged, "the log begins at entry %d but the snapshot ends at %d", first, s.Index)
	case first == s.Index+1:
		return nil
	case last < s.Index || c.Entries[s.Index-first].Term != s.Term:
		c.Entries = nil
	}
	return nil
}

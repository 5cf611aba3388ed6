// Package disk stores the durable state of one replica of the log: its identity,
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
// A segment is a sequence of records. A record holds the batches appended
// between two syncs and carries a CRC-32C and a sequence number; the sequence
// has no gaps. A record is written only after the previous one was synced, so a
// crash can damage only the last record. Open truncates the log before a damaged
// last record. It reports ErrDamaged for a damaged record that is followed by a
// valid one, for missing segments, for a damaged snapshot and for a missing
// identity. Damage within the last record cannot be distinguished from an
// interrupted write.
//
// The first record of each segment repeats term and vote, so that older
// segments can be removed once a snapshot covers their entries.
package disk

import "github.com/cockroachdb/errors"

// Errors of a store.
var (
	// ErrDamaged reports that synced data is missing or corrupted.
	ErrDamaged = errors.New("data on disk is damaged")
	// ErrLocked reports that another process uses the directory.
	ErrLocked = errors.New("data directory is in use by another process")
)

// HardState is the state that a replica must sync before it answers a vote
// request.
type HardState struct {
	Term uint64
	Vote uint64 // identity voted for in Term; zero if none
}

// Kind determines how an entry is applied.
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

// Position identifies an entry by its index and term.
type Position struct {
	Index uint64
	Term  uint64
}

// Batch is appended to the log atomically.
type Batch struct {
	Hard    *HardState // new term and vote; nil if unchanged
	Reset   *Position  // if set, all entries are dropped and the log continues after this position
	Entries []Entry    // consecutive entries; those stored at and after the first index are replaced
	Commit  uint64     // entries up to this one are known to be committed; zero if that is not recorded
}

// Contents is the state that a store holds at startup.
type Contents struct {
	Hard     HardState
	Snapshot Snapshot // zero if none; Load does not return its Data
	Entries  []Entry  // consecutive; may begin at or before the snapshot's index, but then reach it
	Commit   uint64   // entries up to this one are committed; further ones may be
}

// Store is the durable state of one replica. Append and Sync are called from
// one goroutine; SaveSnapshot, LoadSnapshot and Compact may be called
// concurrently from another one.
type Store interface {
	// Identity returns the random number of this disk. It is never zero.
	Identity() uint64
	// Load returns the synced state.
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
	// Compact allows the store to drop entries up to an index. Entries that the
	// stored snapshot does not cover are kept.
	Compact(index uint64) error
	// Close releases the store without a sync.
	Close() error
}

// applyBatch applies a batch to the contents, as a replay of the log does.
func (c *Contents) applyBatch(batch Batch) error {
	if batch.Hard != nil {
		c.Hard = *batch.Hard
	}
	if batch.Reset != nil {
		c.Entries, c.Commit = nil, 0
	}
	c.Commit = max(c.Commit, batch.Commit)
	if len(batch.Entries) == 0 {
		return nil
	}
	first := batch.Entries[0].Index
	if len(c.Entries) > 0 {
		start, end := c.Entries[0].Index, c.Entries[len(c.Entries)-1].Index
		switch {
		case first > end+1 && first <= c.Snapshot.Index+1:
			c.Entries = nil // the snapshot has what is missing; builds before 2026-12-07 wrote such logs
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

// reconcile drops the entries if they end before the snapshot or conflict with
// it, and reports whether it did. A crash between saving a received snapshot and resetting the log leaves such
// entries.
func (c *Contents) reconcile() (dropped bool, err error) {
	if len(c.Entries) == 0 {
		return false, nil
	}
	first, last := c.Entries[0].Index, c.Entries[len(c.Entries)-1].Index
	s := c.Snapshot
	switch {
	case first > s.Index+1:
		return false, errors.Wrapf(ErrDamaged, "the log begins at entry %d but the snapshot ends at entry %d", first, s.Index)
	case first == s.Index+1:
		return false, nil
	case last < s.Index || c.Entries[s.Index-first].Term != s.Term:
		c.Entries, c.Commit = nil, 0
		return true, nil
	}
	return false, nil
}

package raft

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// Type tells what a message asks or answers.
type Type uint8

// Types of messages. Each answer follows its request.
const (
	PreVote Type = iota + 1
	PreVoteAnswer
	Vote
	VoteAnswer
	Append // with no entries it is a heartbeat
	AppendAnswer
	Chunk // a part of a snapshot
	ChunkAnswer
	Join // a replica that is not a member asks to be admitted
	Report
	ReportAnswer
	Found // hands out the founding membership
	FoundAnswer
)

const (
	// MaxCommand is the largest command in bytes. With an append of at most
	// appendBytes before it, a message stays under 1 MiB.
	MaxCommand = 512 << 10
	// appendBytes bounds the entries of one append; a single larger entry is
	// sent alone.
	appendBytes = 256 << 10
	// chunkBytes is the size of one part of a snapshot.
	chunkBytes = 256 << 10
)

// Message is sent between replicas. Fields that a type does not use are zero.
type Message struct {
	Type     Type   `cbor:"1,keyasint"`
	FromName string `cbor:"2,keyasint"`
	From     uint64 `cbor:"3,keyasint"`           // identity of the sender
	To       uint64 `cbor:"4,keyasint,omitempty"` // identity of the receiver; zero in Join and Report
	Group    uint64 `cbor:"5,keyasint,omitempty"`
	Term     uint64 `cbor:"6,keyasint,omitempty"` // in PreVote and its granting answer the term asked for

	// Index and LogTerm name the entry before Entries, the last entry of a
	// candidate, or the last entry of a snapshot. In AppendAnswer, Index is the
	// last entry known to match, or the rejected one.
	Index   uint64       `cbor:"7,keyasint,omitempty"`
	LogTerm uint64       `cbor:"8,keyasint,omitempty"`
	Commit  uint64       `cbor:"9,keyasint,omitempty"`
	Entries []disk.Entry `cbor:"10,keyasint,omitempty"`

	Reject   bool   `cbor:"11,keyasint,omitempty"`
	Hint     uint64 `cbor:"12,keyasint,omitempty"` // last entry that may match
	HintTerm uint64 `cbor:"13,keyasint,omitempty"`

	// Sent is the time in nanoseconds since the leader's start at which it sent
	// the request; answers repeat it.
	Sent int64 `cbor:"14,keyasint,omitempty"`

	Offset     uint64 `cbor:"15,keyasint,omitempty"` // of Data in the snapshot, or the next one wanted
	Size       uint64 `cbor:"16,keyasint,omitempty"` // of the whole snapshot
	Data       []byte `cbor:"17,keyasint,omitempty"`
	Membership []byte `cbor:"18,keyasint,omitempty"`

	Empty bool   `cbor:"19,keyasint,omitempty"` // the reporting replica belongs to no group
	Nonce uint64 `cbor:"20,keyasint,omitempty"` // binds Found to the receiver's latest report

	// Restarted tells in PreVoteAnswer that the voter began a moment ago and has
	// not heard from a leader since, and in Vote that all voters did.
	Restarted bool `cbor:"21,keyasint,omitempty"`
}

// Membership is the set of replicas as of one log entry.
type Membership struct {
	Group   uint64   `cbor:"1,keyasint"` // drawn at founding
	Members []Member `cbor:"2,keyasint"`
	Removed []uint64 `cbor:"3,keyasint,omitempty"` // identities whose messages are ignored
	Retired []string `cbor:"4,keyasint,omitempty"` // names an operator removed for good
}

// Member is one replica: a name and the identity on its disk.
type Member struct {
	Name     string `cbor:"1,keyasint"`
	Identity uint64 `cbor:"2,keyasint"`
	Voter    bool   `cbor:"3,keyasint,omitempty"`
}

// removedKeep bounds the list of removed identities. Older ones are forgotten;
// a quorum never counts an identity that is not a member.
const removedKeep = 1000

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// EncodeMessage encodes a message as CBOR.
func EncodeMessage(m Message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	return b, errors.Wrap(err, "encode message")
}

// DecodeMessage decodes a message.
func DecodeMessage(b []byte) (Message, error) {
	var m Message
	err := decoding.Unmarshal(b, &m)
	return m, errors.Wrap(err, "decode message")
}

func (m *Membership) encode() []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // the type has no value that cannot be encoded
	}
	return b
}

func decodeMembership(b []byte) (*Membership, error) {
	m := &Membership{}
	if err := decoding.Unmarshal(b, m); err != nil {
		return nil, errors.Wrap(err, "decode membership")
	}
	if m.Group == 0 || len(m.Members) == 0 {
		return nil, errors.New("decode membership: no group or no members")
	}
	return m, nil
}

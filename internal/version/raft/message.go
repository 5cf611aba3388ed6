package raft

import (
	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// Type is the type of a message.
type Type uint8

// Message types. Each answer follows its request.
const (
	PreVote Type = iota + 1
	PreVoteAnswer
	Vote
	VoteAnswer
	Append // with no entries it is a heartbeat
	AppendAnswer
	Chunk // one part of a snapshot
	ChunkAnswer
	Join // request of a replica without a leader to be admitted
	Report
	ReportAnswer
	_ // of earlier builds
	_
	JoinAnswer // names the members that the asked replica knows
)

const (
	// MaxCommand is the largest command in bytes. A message that also carries up
	// to appendBytes of other entries stays under 1 MiB.
	MaxCommand = 512 << 10
	// appendBytes bounds the entries of one append. A larger entry is sent in an
	// append of its own.
	appendBytes = 256 << 10
	// chunkBytes is the size of one part of a snapshot.
	chunkBytes = 256 << 10
)

// Message is a message between replicas. Fields that a type does not use are zero.
type Message struct {
	Type     Type   `cbor:"1,keyasint"`
	FromName string `cbor:"2,keyasint"`
	From     uint64 `cbor:"3,keyasint"`           // identity of the sender
	To       uint64 `cbor:"4,keyasint,omitempty"` // identity of the receiver; zero in Join and Report
	Group    uint64 `cbor:"5,keyasint,omitempty"`
	Term     uint64 `cbor:"6,keyasint,omitempty"` // in PreVote and the answer that grants it, the term to campaign in

	// Index and LogTerm identify the entry before Entries, the last entry of a
	// candidate, or the last entry of a snapshot. In AppendAnswer, Index is the
	// last entry known to match, or the rejected one.
	Index   uint64       `cbor:"7,keyasint,omitempty"`
	LogTerm uint64       `cbor:"8,keyasint,omitempty"`
	Commit  uint64       `cbor:"9,keyasint,omitempty"`
	Entries []disk.Entry `cbor:"10,keyasint,omitempty"`

	Reject   bool   `cbor:"11,keyasint,omitempty"`
	Hint     uint64 `cbor:"12,keyasint,omitempty"` // last entry that may match; in ReportAnswer, the founder's round
	HintTerm uint64 `cbor:"13,keyasint,omitempty"` // of Hint; in ReportAnswer, the group of a replica that has stored an entry

	// Sent is the time at which the leader sent the request, in nanoseconds since
	// the leader's start. Answers return it.
	Sent int64 `cbor:"14,keyasint,omitempty"`

	Offset     uint64 `cbor:"15,keyasint,omitempty"` // of Data in the snapshot, or of the next part wanted
	Size       uint64 `cbor:"16,keyasint,omitempty"` // of the whole snapshot
	Data       []byte `cbor:"17,keyasint,omitempty"`
	Membership []byte `cbor:"18,keyasint,omitempty"`

	Empty bool   `cbor:"19,keyasint,omitempty"` // has stored no entry of a group
	Nonce uint64 `cbor:"20,keyasint,omitempty"` // in Report, the founder's round

	// Restarted in PreVoteAnswer means that the voter started within the last
	// election timeout and has not heard from a leader since; in Vote, that this
	// holds for all voters.
	Restarted bool `cbor:"21,keyasint,omitempty"`

	Names []string `cbor:"22,keyasint,omitempty"` // in JoinAnswer the members, in Report the founders
}

// Membership is the set of members that a log entry puts in force.
type Membership struct {
	Group   uint64   `cbor:"1,keyasint"` // random, drawn at founding
	Members []Member `cbor:"2,keyasint"`
	Removed []uint64 `cbor:"3,keyasint,omitempty"` // identities whose messages are ignored
	Retired []string `cbor:"4,keyasint,omitempty"` // names removed by an operator, which may not join

	// Founders are the names that found the group. Before they have, the members are these names without
	// identities.
	Founders []string `cbor:"5,keyasint,omitempty"`
}

// Member is one replica: its name and the identity on its disk.
type Member struct {
	Name     string `cbor:"1,keyasint"`
	Identity uint64 `cbor:"2,keyasint"`
	Voter    bool   `cbor:"3,keyasint,omitempty"`
}

// maxRemoved bounds the list of removed identities; the oldest are dropped. That
// is safe because a quorum never counts an identity that is not a member.
const maxRemoved = 1000

// EncodeMessage encodes a message as CBOR.
func EncodeMessage(m Message) ([]byte, error) {
	b, err := codec.Encode(m)
	return b, errors.Wrap(err, "encode message")
}

// DecodeMessage decodes a message.
func DecodeMessage(b []byte) (Message, error) {
	var m Message
	err := codec.DecodeMessage(b, &m)
	return m, errors.Wrap(err, "decode message")
}

func (m *Membership) encode() []byte {
	b, err := codec.Encode(m)
	if err != nil {
		panic(err) // every value of the type can be encoded
	}
	return b
}

func decodeMembership(b []byte) (*Membership, error) {
	m := &Membership{}
	if err := codec.DecodeMessage(b, m); err != nil {
		return nil, errors.Wrap(err, "decode membership")
	}
	if m.Group == 0 || len(m.Members) == 0 {
		return nil, errors.New("decode membership: no group or no members")
	}
	return m, nil
}

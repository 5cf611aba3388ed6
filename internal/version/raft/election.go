package raft

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// leaseMayBeActive reports whether a leader's lease may still be running, so that
// this replica must not vote.
func (c *core) leaseMayBeActive() bool {
	if c.hooks.noLease {
		return false
	}
	return c.role == leader || c.now.Sub(c.lastContact) < c.electionMin
}

// blockedOnlyByRestart reports whether this replica may not vote only because it
// started recently.
func (c *core) blockedOnlyByRestart() bool {
	return c.noLeaderSinceStart && c.role != leader && c.leaseMayBeActive()
}

// campaign starts an election with a pre-vote, which does not change the term.
//
// A replica that has just started refuses to vote, because a leader may have
// received an answer from it just before. If all voters have just started, the
// former leader is among them, so its lease has ended with its process and the
// election need not wait.
func (c *core) campaign() {
	c.forgetLeader()
	c.resetElectionTimer()
	if c.blockedOnlyByRestart() {
		c.electionDeadline = c.lastContact.Add(c.electionMin + time.Duration(c.random.Int64N(int64(c.restartSpread))))
	}
	if c.hooks.noPreVote || c.isOnlyVoter() {
		c.becomeCandidate(false)
		return
	}
	c.role = preCandidate
	c.votes, c.restartedVoters = map[uint64]bool{}, map[uint64]bool{}
	c.votes[c.identity] = true
	c.requestVotes(true, Message{Type: PreVote, Term: c.term + 1})
}

// becomeCandidate starts an election in the next term. Restarted is true if all
// voters have just started.
func (c *core) becomeCandidate(restarted bool) {
	c.role = candidate
	c.term, c.vote, c.hardStateChanged = c.term+1, c.identity, true
	c.votes = map[uint64]bool{}
	c.resetElectionTimer()
	c.log.Emit(event.ElectionStarted, zap.Uint64("term", c.term))
	c.requestVotes(false, Message{Type: Vote, Term: c.term, Restarted: restarted})
}

// requestVotes sends a request to all other voters.
func (c *core) requestVotes(immediate bool, m Message) {
	m.Index, m.LogTerm = c.entries.last(), c.entries.lastTerm()
	m.Membership = c.membership().encode() // for voters that missed the founding
	for _, p := range c.membership().Members {
		if p.Voter && p.Identity != c.identity {
			m.To = p.Identity
			c.send(immediate, p.Name, m)
		}
	}
}

// upToDate reports whether the sender's log holds every entry of this replica's log
// that may be committed.
func (c *core) upToDate(m Message) bool {
	t := c.entries.lastTerm()
	return m.LogTerm > t || m.LogTerm == t && m.Index >= c.entries.last()
}

func (c *core) handlePreVote(m Message) {
	// An answer given in the candidate's own term rules out that a leader of that
	// term or an earlier one is elected after it, however late the answer and the
	// vote arrive. With a lower term, this replica could still elect one.
	restarted := c.blockedOnlyByRestart() && m.Term == c.term+1
	if c.leaseMayBeActive() && !restarted {
		return
	}
	if m.Term <= c.term || !c.upToDate(m) {
		c.answer(m, Message{Type: PreVoteAnswer, Reject: true})
		return
	}
	if restarted {
		c.answer(m, Message{Type: PreVoteAnswer, Term: m.Term, Restarted: true})
		return
	}
	// Two replicas that campaign at the same time split the votes and cost another
	// election timeout, so this replica postpones its own campaign.
	c.resetElectionTimer()
	c.answer(m, Message{Type: PreVoteAnswer, Term: m.Term})
}

func (c *core) handlePreVoteAnswer(m Message) {
	if c.role != preCandidate || m.Reject || m.Term != c.term+1 {
		return
	}
	if m.Restarted {
		c.restartedVoters[c.senderIdentity(m)] = true
	} else {
		c.votes[c.senderIdentity(m)] = true
	}
	switch {
	case c.allRestarted():
		c.becomeCandidate(true)
	case c.hasVoteQuorum() && !c.blockedOnlyByRestart(): // its own vote is subject to the lease too
		c.becomeCandidate(false)
	}
}

// allRestarted reports whether every other voter has answered, in the current
// term of this replica, that it just started.
func (c *core) allRestarted() bool {
	for _, p := range c.membership().Members {
		if p.Voter && p.Identity != c.identity && !c.restartedVoters[p.Identity] {
			return false
		}
	}
	return true
}

func (c *core) handleVote(m Message) {
	grant := (c.vote == m.From || c.vote == 0 && c.leader == 0) && c.upToDate(m)
	if grant {
		c.vote, c.hardStateChanged = m.From, true
		c.resetElectionTimer()
	}
	c.answer(m, Message{Type: VoteAnswer, Reject: !grant})
}

func (c *core) handleVoteAnswer(m Message) {
	if c.role != candidate || m.Reject {
		return
	}
	c.votes[c.senderIdentity(m)] = true
	c.countVotes()
}

// senderIdentity returns the identity that an answer counts for.
func (c *core) senderIdentity(m Message) uint64 {
	if c.hooks.noIdentity {
		if p := c.membership().memberNamed(m.FromName, true); p != nil {
			return p.Identity
		}
	}
	return m.From
}

// hasVoteQuorum reports whether a quorum of the voters in force granted a vote.
func (c *core) hasVoteQuorum() bool {
	n := 0
	for _, p := range c.membership().Members {
		if p.Voter && c.votes[p.Identity] {
			n++
		}
	}
	return n >= c.quorum()
}

func (c *core) countVotes() {
	if c.hasVoteQuorum() {
		c.becomeLeader()
	}
}

// becomeLeader takes over after an election. It appends an empty entry, whose commit
// commits all earlier ones.
func (c *core) becomeLeader() {
	c.role = leader
	c.leader, c.leaderName = c.identity, c.name
	c.votes = nil
	c.joinRequests, c.shortage = map[string]joinRequest{}, shortage{}
	c.progress = map[uint64]*progress{}
	c.leaseStart = c.now.Add(-c.timing.lease)
	c.termStart = c.entries.last() + 1
	c.heartbeatDue = c.now.Add(c.heartbeat)
	c.trackMembers()
	c.founding.own, c.founding.bound = c.undecided(), nil
	c.append([]disk.Entry{{Index: c.termStart, Term: c.term, Kind: disk.Empty}})
	c.log.Emit(event.LeadershipWon, zap.Uint64("term", c.term), zap.Uint64("entry", c.termStart))
	c.broadcast()
}

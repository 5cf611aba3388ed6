package raft

import (
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
	"github.com/rosemaryloft/rosemaryloft/internal/version/disk"
)

// promised tells whether a lease of a leader may still run, so that this
// replica must not vote.
func (c *core) promised() bool {
	if c.hooks.noLease {
		return false
	}
	return c.role == leader || c.now.Sub(c.contact) < c.electionMin
}

// restartedOnly tells whether nothing but the recent start of this replica keeps
// it from voting.
func (c *core) restartedOnly() bool { return c.unheard && c.role != leader && c.promised() }

// campaign starts an election, with a pre-vote that changes no term.
//
// A replica that has just started refuses to vote, because a leader may have had
// an answer from it just before. If all voters, the former leader among them, have
// just started, that leader and its lease are gone, and the election need not wait.
func (c *core) campaign() {
	c.forgetLeader()
	c.resetElection()
	if c.restartedOnly() {
		c.electionDeadline = c.contact.Add(c.electionMin + time.Duration(c.random.Int64N(int64(c.restart))))
	}
	if c.hooks.noPreVote || c.single() {
		c.stand(false)
		return
	}
	c.role = preCandidate
	c.votes, c.restarts = map[uint64]bool{}, map[uint64]bool{}
	c.votes[c.identity] = true
	m := Message{Type: PreVote, Term: c.term + 1}
	if !c.empty() {
		m.Membership = c.membership().encode() // for voters that missed the founding
	}
	c.request(true, m)
}

// stand starts a real election in the next term. Restarted tells that all voters
// have just started.
func (c *core) stand(restarted bool) {
	c.role = candidate
	c.term, c.vote, c.changedHard = c.term+1, c.identity, true
	c.votes = map[uint64]bool{}
	c.resetElection()
	c.log.Emit(event.ElectionStarted, zap.Uint64("term", c.term))
	c.request(false, Message{Type: Vote, Term: c.term, Restarted: restarted})
}

// request asks all other voters.
func (c *core) request(urgent bool, m Message) {
	m.Index, m.LogTerm = c.entries.last(), c.entries.lastTerm()
	for _, p := range c.membership().Members {
		if p.Voter && p.Identity != c.identity {
			m.To = p.Identity
			c.send(urgent, p.Name, m)
		}
	}
}

// current tells whether a candidate's log holds everything that this replica's
// log may have committed.
func (c *core) current(m Message) bool {
	t := c.entries.lastTerm()
	return m.LogTerm > t || m.LogTerm == t && m.Index >= c.entries.last()
}

func (c *core) handlePreVote(m Message) {
	c.founding.confirmed = true
	// A leader of the candidate's term or an earlier one cannot follow on an answer
	// that is given in the same term, however late the answer and the vote arrive.
	restarted := c.restartedOnly() && m.Term == c.term+1
	if c.promised() && !restarted {
		return
	}
	if m.Term <= c.term || !c.current(m) {
		c.answer(m, Message{Type: PreVoteAnswer, Reject: true})
		return
	}
	if restarted {
		c.answer(m, Message{Type: PreVoteAnswer, Term: m.Term, Restarted: true})
		return
	}
	// Two replicas that stand at the same time split the votes and cost another
	// election timeout; the one that asks first goes first.
	c.resetElection()
	c.answer(m, Message{Type: PreVoteAnswer, Term: m.Term})
}

func (c *core) handlePreVoteAnswer(m Message) {
	if c.role != preCandidate || m.Reject || m.Term != c.term+1 {
		return
	}
	if m.Restarted {
		c.restarts[c.ballot(m)] = true
	} else {
		c.votes[c.ballot(m)] = true
	}
	switch {
	case c.allRestarted():
		c.stand(true)
	case c.won() && !c.restartedOnly(): // its own promise binds it too
		c.stand(false)
	}
}

// allRestarted tells whether every other voter has answered that it just started,
// in the term that this replica is in.
func (c *core) allRestarted() bool {
	for _, p := range c.membership().Members {
		if p.Voter && p.Identity != c.identity && !c.restarts[p.Identity] {
			return false
		}
	}
	return true
}

func (c *core) handleVote(m Message) {
	grant := (c.vote == m.From || c.vote == 0 && c.leader == 0) && c.current(m)
	if grant {
		c.vote, c.changedHard = m.From, true
		c.resetElection()
	}
	c.answer(m, Message{Type: VoteAnswer, Reject: !grant})
}

func (c *core) handleVoteAnswer(m Message) {
	if c.role != candidate || m.Reject {
		return
	}
	c.votes[c.ballot(m)] = true
	c.countVotes()
}

// ballot returns the identity that a vote counts for.
func (c *core) ballot(m Message) uint64 {
	if c.hooks.noIdentity {
		if p := c.membership().named(m.FromName, true); p != nil {
			return p.Identity
		}
	}
	return m.From
}

// won counts the votes of the voters in force; others never count.
func (c *core) won() bool {
	n := 0
	for _, p := range c.membership().Members {
		if p.Voter && c.votes[p.Identity] {
			n++
		}
	}
	return n >= c.quorum()
}

func (c *core) countVotes() {
	if c.won() {
		c.lead()
	}
}

// lead takes over after an election. The empty entry commits all earlier ones.
func (c *core) lead() {
	c.role = leader
	c.leader, c.leaderName = c.identity, c.name
	c.votes = nil
	c.joins = map[string]join{}
	c.progress = map[uint64]*progress{}
	c.leaseFrom = c.now.Add(-c.timing.lease)
	c.own = c.entries.last() + 1
	c.heartbeatDue = c.now.Add(c.heartbeat)
	c.track()
	c.append([]disk.Entry{{Index: c.own, Term: c.term, Kind: disk.Empty}})
	c.log.Emit(event.LeadershipWon, zap.Uint64("term", c.term), zap.Uint64("entry", c.own))
	c.broadcast()
}

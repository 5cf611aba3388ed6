package raft

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rosemaryloft/rosemaryloft/internal/process/event"
)

// shortageInterval is the time between two log lines on the same missing voters.
const shortageInterval = 10 * time.Second

// shortage is what the leader has logged about voters that do not answer.
type shortage struct {
	silent   []string // names of the silent voters in the last line
	reason   string   // why none has taken their place, in the last line
	repeatAt time.Time
}

// reportShortage logs when voters are silent, why nobody has taken their place, and
// when all answer again. A group with silent voters tolerates fewer losses.
func (c *core) reportShortage() {
	r, s := &c.shortage, c.membership()
	var silent []string
	for _, p := range s.Members {
		if g := c.progress[p.Identity]; p.Voter && g != nil && c.now.Sub(g.ackedAt) >= silentVoterTimeout {
			silent = append(silent, p.Name)
		}
	}
	if len(silent) == 0 {
		if r.reason != "" {
			c.log.Emit(event.VotersComplete, zap.Int("voters", s.voterCount()))
		}
		*r = shortage{}
		return
	}
	reason := c.shortageReason()
	if slices.Equal(silent, r.silent) && reason == r.reason && c.now.Before(r.repeatAt) {
		return
	}
	*r = shortage{silent, reason, c.now.Add(shortageInterval)}
	live := s.voterCount() - len(silent)
	c.log.Emit(event.VotersMissing, zap.Int("voters", s.voterCount()), zap.Int("live", live),
		zap.Int("tolerated", max(0, live-c.quorum())), zap.Strings("silent", silent), zap.String("reason", reason))
}

// shortageReason says what the replacement of a silent voter waits for.
func (c *core) shortageReason() string {
	if !c.canChangeMembership() {
		return "a change of members is not committed yet"
	}
	for _, p := range c.membership().Members {
		if p.Voter {
			continue
		}
		if c.now.Sub(c.progress[p.Identity].heardAt) > c.electionMin {
			return "the replacement " + p.Name + " does not answer"
		}
		return "the replacement " + p.Name + " catches up"
	}
	if len(c.joinRequests) > 0 {
		return "a replacement is being admitted"
	}
	return "no replica has asked to take a place"
}

package job

import (
	"strings"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

// A caller may cancel a job that is not known, because copies of its submission are still
// under way. The job is withdrawn then: the state keeps its ID for a time, and accepts no
// submission with it.

const (
	// minWithdrawn is the shortest time for which a withdrawn ID is kept. A submission that
	// was already sent arrives within seconds, unless its process is paused.
	minWithdrawn = 30 * time.Second
	// maxWithdrawn and maxWorkspaceWithdrawn bound the number of withdrawn IDs, of all
	// workspaces and of one. Cancellations of further unknown jobs are refused.
	maxWithdrawn          = 65_536
	maxWorkspaceWithdrawn = 8_192
	maxIDLength           = 128
)

// Check returns an error if no job can have the ID.
func (id ID) Check() error {
	if id == "" || len(id) > maxIDLength || strings.ContainsAny(string(id), "./") || !utf8.ValidString(string(id)) {
		return errors.Newf("%.40q is not one word of at most %d bytes", string(id), maxIDLength)
	}
	return nil
}

// Withdrawal is the cancellation of a job that is not known.
type Withdrawal struct {
	_         struct{} `cbor:",toarray"`
	ID        ID
	Workspace string // of the caller
}

// withdrawalRecord is a withdrawal in effect.
type withdrawalRecord struct {
	_          struct{} `cbor:",toarray"`
	Withdrawal Withdrawal
	At         time.Time
}

// withdrawals are the withdrawn IDs, the oldest first.
type withdrawals struct {
	order  []withdrawalRecord
	known  map[ID]bool
	counts map[string]int // by workspace
}

func (w *withdrawals) init() { w.known, w.counts = map[ID]bool{}, map[string]int{} }

// Withdrawn reports whether submissions with an ID are not accepted.
func (v *View) Withdrawn(id ID) bool { return v.withdrawn.known[id] }

// withdraw cancels a job, or withdraws its ID if the job is not known. It ignores the
// withdrawal if there are too many.
func (v *View) withdraw(w *Withdrawal, now time.Time, result *Result) {
	if v.Jobs[w.ID] != nil {
		v.cancel(w.ID, now, result)
		return
	}
	v.withdrawn.add(withdrawalRecord{Withdrawal: *w, At: now})
}

func (w *withdrawals) add(r withdrawalRecord) {
	id, workspace := r.Withdrawal.ID, r.Withdrawal.Workspace
	if id == "" || w.known[id] || len(w.order) >= maxWithdrawn || w.counts[workspace] >= maxWorkspaceWithdrawn {
		return
	}
	w.order = append(w.order, r)
	w.known[id] = true
	w.counts[workspace]++
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// drop drops the withdrawals from before a time.
func (w *withdrawals) drop(before time.Time) {
	n := 0
	for n < len(w.order) && w.order[n].At.Before(before) {
		d := &w.order[n].Withdrawal
		delete(w.known, d.ID)
		if w.counts[d.Workspace]--; w.counts[d.Workspace] == 0 {
			delete(w.counts, d.Workspace)
		}
		n++
	}
	w.order = w.order[n:]
}

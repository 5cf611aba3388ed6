package state

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

const (
	// maxNameBytes is the longest name of an object, in bytes.
	maxNameBytes = 128
	// maxResourceAmount bounds every resource field, so that the sum over all
	// workers of a cell cannot overflow an int64.
	maxResourceAmount = 1 << 48
)

// team is a team with its resource usage. A change replaces the embedded Team
// and never modifies it, so that readers may keep a reference.
type team struct {
	*work.Team
	reserved     work.Resources
	running      int64
	ownedEntries int // entries that are not retired
	jobs         map[work.JobID]*job
}

// entry is a catalogue entry with its load. A change replaces the embedded
// Entry.
type entry struct {
	*work.Entry
	running    int64
	queued     int64
	queuedJobs map[work.JobID]*job // jobs with queued tasks
}

// objectKind selects the map that holds a catalogue object.
type objectKind uint8

const (
	kindTeam objectKind = iota
	kindEntry
	kindKey
)

// change records which object got a version. It is stale once the object has a
// later version.
type change struct {
	version uint64
	kind    objectKind
	name    string
}

// changeTeam applies a change of a team. A retired team can be restored only by
// a change whose base is the version of the retirement.
func (s *State) changeTeam(c *TeamChange) Result {
	t := c.Team
	existing := s.teams[t.Name]
	current := uint64(0)
	if existing != nil {
		current = existing.Version
	}
	if r, ok := s.checkBaseVersion(c.Base, current); !ok {
		return r
	}
	switch {
	case !validName(t.Name):
		return invalid("the name of the team is not valid")
	case t.Weight < 1:
		return invalid("the weight of a team is at least 1")
	case !validLimit(t.Limit) || t.Tasks < 0 || t.Requests < 0:
		return invalid("a limit of the team is out of range")
	case t.Retired && existing != nil && existing.ownedEntries > 0:
		return invalid("the team still owns entries")
	}
	t.Version = s.nextVersion(kindTeam, t.Name)
	if existing == nil {
		existing = &team{jobs: make(map[work.JobID]*job)}
		s.teams[t.Name] = existing
	}
	existing.Team = &t
	s.emit(work.TeamEvent{Team: existing.Team})
	return Result{Code: OK, Version: t.Version}
}

// changeEntry applies a change of a catalogue entry. The class cannot change,
// because jobs of the entry depend on it.
func (s *State) changeEntry(c *EntryChange) Result {
	e := c.Entry
	existing := s.entries[e.Name]
	current := uint64(0)
	if existing != nil {
		current = existing.Version
	}
	if r, ok := s.checkBaseVersion(c.Base, current); !ok {
		return r
	}
	owner := s.teams[e.Owner]
	switch {
	case !validName(e.Name):
		return invalid("the name of the entry is not valid")
	case e.Class != work.Service && e.Class != work.Batch && e.Class != work.Gang:
		return invalid("the class of the entry is not known")
	case existing != nil && existing.Class != e.Class:
		return invalid("the class of an entry cannot change")
	case owner == nil || owner.Retired && !e.Retired:
		return Result{Code: NotFound, Message: "there is no team " + e.Owner}
	case !validLimit(e.Maximum) || e.Tasks < 0 || e.Body < 0:
		return invalid("a limit of the entry is out of range")
	}
	e.Version = s.nextVersion(kindEntry, e.Name)
	if existing == nil {
		existing = &entry{queuedJobs: make(map[work.JobID]*job)}
		s.entries[e.Name] = existing
	} else if !existing.Retired {
		s.teams[existing.Owner].ownedEntries--
	}
	if !e.Retired {
		owner.ownedEntries++
	}
	existing.Entry = &e
	s.emit(work.EntryEvent{Entry: existing.Entry})
	return Result{Code: OK, Version: e.Version}
}

// changeKey grants or withdraws a key. A granted key cannot change otherwise,
// and neither its name nor its secret can be granted again.
func (s *State) changeKey(c *KeyChange) Result {
	k := c.Key
	existing := s.keys[k.Name]
	current := uint64(0)
	if existing != nil {
		current = existing.Version
	}
	if r, ok := s.checkBaseVersion(c.Base, current); !ok {
		return r
	}
	if existing != nil {
		switch {
		case existing.Withdrawn && s.enabled(guardWithdrawn):
			return invalid("the key is withdrawn")
		case !k.Withdrawn && s.enabled(guardWithdrawn):
			return invalid("a key can only be withdrawn; grant another one")
		}
		withdrawn := k.Withdrawn
		k = *existing
		k.Withdrawn = withdrawn
	} else if r := s.checkKey(&k); r.Code != OK {
		return r
	}
	k.Version = s.nextVersion(kindKey, k.Name)
	s.keys[k.Name] = &k
	s.keysByDigest[k.Digest] = k.Name
	s.emit(work.KeyEvent{Key: &k})
	return Result{Code: OK, Version: k.Version}
}

func (s *State) checkKey(k *work.Key) Result {
	t := s.teams[k.Team]
	_, taken := s.keysByDigest[k.Digest]
	switch {
	case !validName(k.Name):
		return invalid("the name of the key is not valid")
	case k.Role != work.CallerRole && k.Role != work.UpstreamRole && k.Role != work.WorkerRole && k.Role != work.OperatorRole:
		return invalid("the role of the key is not known")
	case k.Team == "" && (k.Role == work.CallerRole || k.Role == work.UpstreamRole):
		return invalid("a key of this role needs a team")
	case k.Team != "" && (t == nil || t.Retired):
		return Result{Code: NotFound, Message: "there is no team " + k.Team}
	case k.Withdrawn || k.Digest == [32]byte{} || taken:
		return invalid("the secret of the key is missing or was used before")
	}
	return Result{Code: OK}
}

// checkBaseVersion checks that a change is based on the current version, which
// is zero for an object that does not exist.
func (s *State) checkBaseVersion(base, current uint64) (Result, bool) {
	switch {
	case base == current || !s.enabled(guardBaseVersion):
		return Result{}, true
	case current == 0:
		return Result{Code: NotFound, Message: "there is no such object"}, false
	}
	return Result{Code: Conflict, Version: current, Message: fmt.Sprintf("the current version is %d", current)}, false
}

// nextVersion assigns the next catalogue version to an object. It compacts the
// list of changes once most of it is stale.
func (s *State) nextVersion(k objectKind, name string) uint64 {
	s.version++
	s.changes = append(s.changes, change{s.version, k, name})
	if len(s.changes) > 2*(len(s.teams)+len(s.entries)+len(s.keys))+64 {
		s.changes = slices.DeleteFunc(s.changes, func(c change) bool {
			return c.version != s.version && s.versionOf(c.kind, c.name) != c.version
		})
	}
	return s.version
}

func (s *State) versionOf(k objectKind, name string) uint64 {
	switch k {
	case kindTeam:
		if t := s.teams[name]; t != nil {
			return t.Version
		}
	case kindEntry:
		if e := s.entries[name]; e != nil {
			return e.Version
		}
	case kindKey:
		if k := s.keys[name]; k != nil {
			return k.Version
		}
	}
	return 0
}

// Changes is a part of the catalogue, each list sorted by version.
type Changes struct {
	Version uint64 // of the catalogue
	Teams   []work.Team
	Entries []work.Entry
	Keys    []work.Key
}

// CatalogueVersion returns the version of the last change of the catalogue.
func (s *State) CatalogueVersion() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version
}

// CatalogueSince returns the objects that changed after a version, retired and
// withdrawn ones included. It returns false if there are more than limit of
// them or the version is later than the current one.
func (s *State) CatalogueSince(version uint64, limit int) (Changes, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if version > s.version {
		return Changes{}, false
	}
	at, _ := slices.BinarySearchFunc(s.changes, version+1, func(c change, v uint64) int { return cmp.Compare(c.version, v) })
	out := Changes{Version: s.version}
	for _, c := range s.changes[at:] {
		if s.versionOf(c.kind, c.name) != c.version {
			continue
		}
		if limit--; limit < 0 {
			return Changes{}, false
		}
		switch c.kind {
		case kindTeam:
			out.Teams = append(out.Teams, *s.teams[c.name].Team)
		case kindEntry:
			out.Entries = append(out.Entries, *s.entries[c.name].Entry)
		case kindKey:
			out.Keys = append(out.Keys, *s.keys[c.name])
		}
	}
	return out, true
}

// Catalogue returns the whole catalogue, with retired and withdrawn objects
// only if all is set.
func (s *State) Catalogue(all bool) Changes {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := Changes{Version: s.version}
	for _, t := range s.teams {
		if all || !t.Retired {
			out.Teams = append(out.Teams, *t.Team)
		}
	}
	for _, e := range s.entries {
		if all || !e.Retired {
			out.Entries = append(out.Entries, *e.Entry)
		}
	}
	for _, k := range s.keys {
		if all || !k.Withdrawn {
			out.Keys = append(out.Keys, *k)
		}
	}
	slices.SortFunc(out.Teams, func(a, b work.Team) int { return cmp.Compare(a.Version, b.Version) })
	slices.SortFunc(out.Entries, func(a, b work.Entry) int { return cmp.Compare(a.Version, b.Version) })
	slices.SortFunc(out.Keys, func(a, b work.Key) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// Team returns a team, retired or not.
func (s *State) Team(name string) (work.Team, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if t := s.teams[name]; t != nil {
		return *t.Team, true
	}
	return work.Team{}, false
}

// Entry returns a catalogue entry, retired or not.
func (s *State) Entry(name string) (work.Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if e := s.entries[name]; e != nil {
		return *e.Entry, true
	}
	return work.Entry{}, false
}

func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name) &&
		!strings.ContainsFunc(name, func(r rune) bool { return r == '/' || unicode.IsSpace(r) || !unicode.IsPrint(r) })
}

// validSize reports whether r is valid as a reservation or a capacity.
func validSize(r work.Resources) bool { return r.Valid() && validLimit(r) }

func validLimit(r work.Resources) bool {
	return min(r.Processors, r.Memory, r.Accelerators) >= 0 && max(r.Processors, r.Memory, r.Accelerators) <= maxResourceAmount
}

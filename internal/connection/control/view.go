package control

import (
	"crypto/sha256"
	"sync/atomic"

	"github.com/rosemaryloft/rosemaryloft/internal/shard"
	"github.com/rosemaryloft/rosemaryloft/internal/work"
)

// view is the copy of the catalogue on an entry VM. One goroutine applies
// changes while others look up objects by name or digest.
type view struct {
	tables  atomic.Pointer[tables]
	version atomic.Uint64
}

// tables holds the objects of the catalogue. A complete catalogue replaces it;
// a list of changes updates it in place.
type tables struct {
	teams   *shard.Map[string, work.Team]
	entries *shard.Map[string, work.Entry]
	keys    *shard.Map[[sha256.Size]byte, work.Key]
	digests *shard.Map[string, [sha256.Size]byte] // by key name, to remove the old digest when a key changes
}

func newTables() *tables {
	return &tables{
		teams:   shard.New[string, work.Team](),
		entries: shard.New[string, work.Entry](),
		keys:    shard.New[[sha256.Size]byte, work.Key](),
		digests: shard.New[string, [sha256.Size]byte](),
	}
}

func newView() *view {
	v := &view{}
	v.tables.Store(newTables())
	return v
}

// apply updates the view with the catalogue of a grant and reports whether the
// view changed. A catalogue that is not newer than the view is ignored.
func (v *view) apply(c *Catalogue) bool {
	if c.Version <= v.version.Load() {
		return false
	}
	t := v.tables.Load()
	if c.Whole {
		t = newTables()
	}
	t.merge(c)
	v.tables.Store(t)
	v.version.Store(c.Version)
	return true
}

func (t *tables) merge(c *Catalogue) {
	for _, m := range c.Teams {
		if old, ok := t.teams.Get(m.Name); !ok || m.Version > old.Version {
			t.teams.Set(m.Name, m)
		}
	}
	for _, e := range c.Entries {
		if old, ok := t.entries.Get(e.Name); !ok || e.Version > old.Version {
			t.entries.Set(e.Name, e)
		}
	}
	for _, k := range c.Keys {
		t.mergeKey(k)
	}
}

func (t *tables) mergeKey(k work.Key) {
	digest, known := t.digests.Get(k.Name)
	if known {
		if old, ok := t.keys.Get(digest); ok && old.Name == k.Name {
			if k.Version <= old.Version {
				return
			}
			if digest != k.Digest {
				t.keys.Delete(digest)
			}
		}
	}
	t.digests.Set(k.Name, k.Digest)
	t.keys.Set(k.Digest, k)
}

func (v *view) key(secret string) (work.Key, bool) {
	// Hashing a secret that fits into the buffer does not allocate.
	var buffer [128]byte
	digest := sha256.Sum256(append(buffer[:0], secret...))
	k, ok := v.tables.Load().keys.Get(digest)
	return k, ok && !k.Withdrawn
}

func (v *view) entry(name string) (work.Entry, bool) {
	e, ok := v.tables.Load().entries.Get(name)
	return e, ok && !e.Retired
}

func (v *view) team(name string) (work.Team, bool) {
	t, ok := v.tables.Load().teams.Get(name)
	return t, ok && !t.Retired
}

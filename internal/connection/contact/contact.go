// Package contact remembers which processes to ask for the present members of a
// group.
//
// # Usage
//
//	var b contact.Book
//	b.Add(seeds...)          // of the settings, at the start and after each reload
//	b.Add(answer.Members...) // of any answer, also of a process that is out of date
//	for _, name := range b.Names() {
//		ask(name)
//	}
//
// A name in a Book only says whom to ask, never who is a member. That is why names
// stay when others are learned: the last list may come from a process that was cut
// off and knows only members that are gone.
package contact

import "slices"

// maxNames bounds a Book. Each name that no longer exists costs a vain attempt to
// connect per round of questions.
const maxNames = 24

// Book holds the names of processes. The zero Book is empty. A Book is not safe for
// concurrent use.
type Book struct {
	names []string // the one that was named last is last
}

// Add adds names, or moves them to the end. A full Book drops those that were named
// longest ago.
func (b *Book) Add(names ...string) {
	for _, name := range names {
		if name == "" {
			continue
		}
		b.names = append(slices.DeleteFunc(b.names, func(n string) bool { return n == name }), name)
	}
	if extra := len(b.names) - maxNames; extra > 0 {
		b.names = slices.Delete(b.names, 0, extra)
	}
}

// Names returns the names, the one that was named last first.
func (b *Book) Names() []string {
	n := slices.Clone(b.names)
	slices.Reverse(n)
	return n
}

package contact

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against names that are forgotten because an outdated list came last, and
// against a book that grows with each replaced process.
func TestNamesStayUntilTheBookIsFull(t *testing.T) {
	is := is.New(t)
	var b Book
	b.Add("new")
	b.Add("old 1", "", "old 2")
	is.Equal(b.Names(), []string{"old 2", "old 1", "new"})
	for i := range 2 * maxNames {
		b.Add(fmt.Sprint(i), "new")
	}
	is.Equal(len(b.Names()), maxNames)
	is.Equal(b.Names()[0], "new")
}

//go:build measure

package measure

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
)

var only = flag.String("only", "", "print only variants whose names contain this")

// TestTable prints the table of all variants. It checks nothing, so only make
// measure builds it.
func TestTable(t *testing.T) {
	list := slices.DeleteFunc(Variants(), func(v Variant) bool { return !strings.Contains(v.Name, *only) })
	Table(os.Stdout, os.Stdout, *seed, 1, list)
}

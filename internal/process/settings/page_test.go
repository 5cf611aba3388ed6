package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rosemaryloft/rosemaryloft/internal/process/certificate"
)

var (
	jsonExample = regexp.MustCompile("(?ms)^ *```json\n(.*?)^ *```")
	// defaultPaths matches the folders in the examples, which the test replaces by
	// one that it can write to.
	defaultPaths = regexp.MustCompile(`/etc/rosemaryloft|/var/lib/rosemaryloft`)
)

// Guards against examples in the documentation that the daemon rejects.
func TestExamplesOfPages(t *testing.T) {
	for page, count := range map[string]int{"OPERATIONS.md": 2, "settings.md": 1} {
		t.Run(page, func(t *testing.T) {
			is := is.New(t)
			content, err := os.ReadFile(filepath.Join("../../../docs", page))
			is.NoErr(err)
			examples := jsonExample.FindAllStringSubmatch(string(content), -1)
			is.Equal(len(examples), count)
			for _, x := range examples {
				var named struct{ Name string }
				is.NoErr(json.Unmarshal([]byte(x[1]), &named))
				folder := t.TempDir()
				a, err := certificate.Create(now)
				is.NoErr(err)
				is.NoErr(a.Write(folder))
				is.NoErr(a.Issue(folder, named.Name, now))
				path := filepath.Join(folder, "settings.json")
				is.NoErr(os.WriteFile(path, []byte(defaultPaths.ReplaceAllString(x[1], folder)), 0o600))
				var out strings.Builder
				is.Equal(Check(path, now, &out), CheckOK)
				is.Equal(out.String(), path+": no findings\n")
			}
		})
	}
}

package settings

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/rosemaryloft/rosemaryloft/internal/process/certificate"
)

// maximumReplicas bounds the control group. More replicas make every commit
// wait for more disks and tolerate no likelier failures.
const maximumReplicas = 7

// maximumLabel bounds the names of regions and zones, in bytes.
const maximumLabel = 63

// Exit codes of Check.
const (
	CheckOK       = 0 // the settings can be used
	CheckFindings = 1 // there are findings, printed one on a line
)

// Load reads and validates a settings file. All findings come together, in
// the order of the file where they have a place in it.
func Load(path string, now time.Time) (Settings, []Finding) {
	s := base()
	content, err := os.ReadFile(path)
	if err != nil {
		return s, []Finding{{Message: err.Error()}}
	}
	d := decode(content, &s)
	if _, parsed := d.places[""]; !parsed {
		return s, d.findings
	}
	broken := map[string]bool{}
	for _, f := range d.findings {
		broken[f.Path] = true
	}
	for _, f := range s.Validate(now) {
		if broken[f.Path] {
			continue // it has a finding that tells more
		}
		if offset, ok := d.locate(f.Path); ok {
			f.Line, f.Column = d.place(offset)
		}
		d.findings = append(d.findings, f)
	}
	slices.SortStableFunc(d.findings, func(a, b Finding) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return s, d.findings
}

// locate returns the place of a path, or of the nearest object around it for a
// field that is missing.
func (d *document) locate(path string) (int, bool) {
	for {
		if offset, ok := d.places[path]; ok {
			return offset, true
		}
		if path == "" {
			return 0, false
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

// Check validates a settings file for an operator: it prints the findings, or
// a line that there are none, and returns the exit code.
func Check(path string, now time.Time, out io.Writer) int {
	_, findings := Load(path, now)
	for _, f := range findings {
		fmt.Fprintf(out, "%s:%s\n", path, f)
	}
	if len(findings) > 0 {
		return CheckFindings
	}
	fmt.Fprintf(out, "%s: no findings\n", path)
	return CheckOK
}

// validation collects the findings of one pass.
type validation struct {
	*Settings
	findings []Finding
}

func (v *validation) find(path, format string, arguments ...any) {
	v.findings = append(v.findings, Finding{Path: path, Message: fmt.Sprintf(format, arguments...)})
}

// Validate checks everything that can be checked on this VM and returns all
// findings. It reads the certificate files, and tries whether files can be
// made in the data folder.
func (s *Settings) Validate(now time.Time) []Finding {
	v := &validation{Settings: s}
	v.identity()
	v.listen()
	v.peers()
	v.control()
	v.certificates(now)
	v.operators()
	return v.findings
}

func (v *validation) identity() {
	if !certificate.ValidName(v.Name) {
		v.find("name", "must have 1 to 63 lower-case letters, digits and '-', and not begin or end with '-'")
	}
	for _, p := range [...][2]string{{"region", v.Region}, {"zone", v.Zone}} {
		if p[1] == "" || len(p[1]) > maximumLabel || strings.ContainsFunc(p[1], func(r rune) bool { return r <= ' ' || r > '~' }) {
			v.find(p[0], "must have 1 to %d printable characters without spaces", maximumLabel)
		}
	}
	if len(v.Roles) == 0 {
		v.find("roles", "must name at least one of %q and %q", RoleEntry, RoleControl)
	}
	for i, r := range v.Roles {
		if slices.Contains(v.Roles[:i], r) {
			v.find(fmt.Sprintf("roles[%d]", i), "%q is named twice", r)
		}
	}
	if _, err := zapcore.ParseLevel(v.Log); err != nil || !slices.Contains([]string{"debug", "info", "warn", "error"}, v.Log) {
		v.find("log", "must be debug, info, warn or error")
	}
}

func (v *validation) listen() {
	for _, p := range v.Listen.surfaces() {
		path := "listen." + string(p.surface)
		switch {
		case p.address.IsValid():
			v.bindable(path, p.address)
			if !v.Has(RoleEntry) && p.surface != Platform {
				v.find(path, "only the role %q serves %s", RoleEntry, p.surface)
			}
		case v.Has(RoleEntry):
			v.find(path, "is needed for the role %q", RoleEntry)
		}
	}
	if v.Listen.Peers.IsValid() {
		v.bindable("listen.peers", v.Listen.Peers)
	} else {
		v.find("listen.peers", "is needed")
	}
}

// bindable checks an own address. Port 0 is for tests and makes sense only
// where nobody else has to know the port.
func (v *validation) bindable(path string, a Address) {
	if a.Port() == 0 && !a.Addr().IsLoopback() {
		v.find(path, "needs a port other than 0")
	}
	if a.Addr().IsMulticast() {
		v.find(path, "must not be a multicast address")
	}
}

func (v *validation) peers() {
	names, addresses := map[string]int{}, map[netip.AddrPort]int{}
	for i, p := range v.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		if !certificate.ValidName(p.Name) {
			v.find(path+".name", "must be the name in the certificate of that process")
		} else if j, ok := names[p.Name]; ok {
			v.find(path+".name", "%q is also peers[%d]", p.Name, j)
		}
		names[p.Name] = i
		a := p.Address
		switch j, taken := addresses[a.AddrPort]; {
		case !a.IsValid() || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast():
			v.find(path+".address", "must be the IP address and port on which that process listens for peers")
			continue
		case taken:
			v.find(path+".address", "%s is also that of peers[%d]", a, j)
		case p.Name != v.Name && a == v.Listen.Peers:
			v.find(path+".address", "%s is this process's own", a)
		case !reaches(v.Listen.Peers, a):
			v.find(path+".address", "%s cannot be reached from listen.peers, which has another IP version", a)
		}
		addresses[a.AddrPort] = i
		if p.Name == v.Name && p.Control != v.Has(RoleControl) {
			v.find(path+".control", "contradicts the roles of this process")
		}
	}
}

// reaches reports whether packets can go from an own address to another one.
func reaches(own, other Address) bool {
	dual := own.Addr().Is6() && own.Addr().IsUnspecified()
	return !own.IsValid() || dual || own.Addr().Is4() == other.Addr().Is4()
}

func (v *validation) control() {
	switch n := len(v.Control()); {
	case n == 0:
		v.find("peers", "no process has the role %q; mark three or five peers with \"control\": true", RoleControl)
	case n%2 == 0:
		v.find("peers", "%d processes have the role %q; an odd number tolerates as many failures with one VM less", n, RoleControl)
	case n > maximumReplicas:
		v.find("peers", "%d processes have the role %q; at most %d are sensible", n, RoleControl, maximumReplicas)
	}
	if !v.Has(RoleControl) {
		return
	}
	if v.Data == "" {
		v.find("data", "the role %q needs a folder on a disk", RoleControl)
	} else if err := writable(v.Data); err != nil {
		v.find("data", "the role %q needs a disk: %v", RoleControl, err)
	}
}

// writable checks that files can be made in a folder, or in the one above if
// the folder is still to be made.
func writable(folder string) error {
	info, err := os.Stat(folder)
	if os.IsNotExist(err) {
		folder = filepath.Dir(filepath.Clean(folder))
		info, err = os.Stat(folder)
	}
	if err != nil {
		return err
	}
	if !info.IsDir() {
		return fmt.Errorf("%s is not a folder", folder)
	}
	f, err := os.CreateTemp(folder, ".check-*")
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return os.Remove(f.Name())
}

// Single reports whether the process has no peers and no certificates of its
// own, so that Prepare makes them.
func (s *Settings) Single() bool {
	return len(s.Others()) == 0 && s.Certificates == Certificates{}
}

func (v *validation) certificates(now time.Time) {
	if v.Single() {
		if v.Data == "" {
			v.find("data", "without certificates, a folder is needed to make them in")
		}
		return
	}
	complete := true
	c := v.Certificates
	for _, p := range [...][2]string{{"authority", c.Authority}, {"certificate", c.Certificate}, {"key", c.Key}} {
		path := "certificates." + p[0]
		if p[1] == "" {
			v.find(path, "is needed")
			complete = false
		} else if f, err := os.Open(p[1]); err != nil {
			v.find(path, "%v", err)
			complete = false
		} else if err := f.Close(); err != nil {
			v.find(path, "%v", err)
		}
	}
	if !complete {
		return
	}
	if err := certificate.Check(c.Files(), v.Name, now); err != nil {
		v.find("certificates", "%v", err)
	}
	if info, err := os.Stat(c.Key); err == nil && info.Mode().Perm()&0o077 != 0 {
		v.find("certificates.key", "other users may read %s; set its mode to 0600", c.Key)
	}
}

func (v *validation) operators() {
	for i, d := range v.Settings.Operators {
		if slices.Contains(v.Settings.Operators[:i], d) {
			v.find(fmt.Sprintf("operators[%d]", i), "the digest is named twice")
		}
	}
}

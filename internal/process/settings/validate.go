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

// maxReplicas is the maximum size of the control group. With more replicas, every
// commit waits for more disks, and the additional failures that are tolerated
// together are unlikely to coincide.
const maxReplicas = 7

// maxLabelLength is the maximum length of the names of regions and zones, in bytes.
const maxLabelLength = 63

// Exit codes of Check.
const (
	CheckOK       = 0 // the settings can be used
	CheckFindings = 1 // there are findings, printed one per line
)

// Load reads and validates a settings file. It returns all findings, ordered by
// their position in the file.
func Load(path string, now time.Time) (Settings, []Finding) {
	s := fileDefaults()
	content, err := os.ReadFile(path)
	if err != nil {
		return s, []Finding{{Message: err.Error()}}
	}
	d := decode(content, &s)
	if _, parsed := d.offsets[""]; !parsed {
		return s, d.findings
	}
	reported := map[string]bool{}
	for _, f := range d.findings {
		reported[f.Path] = true
	}
	for _, f := range s.Validate(now) {
		if reported[f.Path] {
			continue // the finding of the decoder is more specific
		}
		if offset, ok := d.offsetOf(f.Path); ok {
			f.Line, f.Column = d.position(offset)
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

// offsetOf returns the offset of the value at path. For a missing field, it
// returns the offset of the nearest enclosing object.
func (d *document) offsetOf(path string) (int, bool) {
	for {
		if offset, ok := d.offsets[path]; ok {
			return offset, true
		}
		if path == "" {
			return 0, false
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

// Check validates a settings file for an operator. It prints the findings, or a
// line that says there are none, and returns the exit code.
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

// validator collects the findings of one validation pass.
type validator struct {
	*Settings
	findings []Finding
}

func (v *validator) addFinding(path, format string, arguments ...any) {
	v.findings = append(v.findings, Finding{Path: path, Message: fmt.Sprintf(format, arguments...)})
}

// Validate checks everything that can be checked on this VM and returns all
// findings. It reads the certificate files and, for the role control, tests
// whether files can be created in the data folder.
func (s *Settings) Validate(now time.Time) []Finding {
	v := &validator{Settings: s}
	v.checkIdentity()
	v.checkListen()
	v.checkPeers()
	v.checkControl()
	v.checkCertificates(now)
	v.checkOperators()
	return v.findings
}

func (v *validator) checkIdentity() {
	if !certificate.ValidName(v.Name) {
		v.addFinding("name", "must have 1 to 63 lower-case letters, digits and '-', and not begin or end with '-'")
	}
	for _, p := range [...][2]string{{"region", v.Region}, {"zone", v.Zone}} {
		if p[1] == "" || len(p[1]) > maxLabelLength || strings.ContainsFunc(p[1], func(r rune) bool { return r <= ' ' || r > '~' }) {
			v.addFinding(p[0], "must have 1 to %d printable characters without spaces", maxLabelLength)
		}
	}
	if len(v.Roles) == 0 {
		v.addFinding("roles", "must name at least one of %q and %q", RoleEntry, RoleControl)
	}
	for i, r := range v.Roles {
		if slices.Contains(v.Roles[:i], r) {
			v.addFinding(fmt.Sprintf("roles[%d]", i), "%q is named twice", r)
		}
	}
	if _, err := zapcore.ParseLevel(v.Log); err != nil || !slices.Contains([]string{"debug", "info", "warn", "error"}, v.Log) {
		v.addFinding("log", "must be debug, info, warn or error")
	}
}

func (v *validator) checkListen() {
	for _, p := range v.Listen.surfaces() {
		path := "listen." + string(p.surface)
		switch {
		case p.address.IsValid():
			v.checkListenAddress(path, p.address)
			if !v.Has(RoleEntry) && p.surface != Platform {
				v.addFinding(path, "only the role %q serves %s", RoleEntry, p.surface)
			}
		case v.Has(RoleEntry):
			v.addFinding(path, "is needed for the role %q", RoleEntry)
		}
	}
	if v.Listen.Peers.IsValid() {
		v.checkListenAddress("listen.peers", v.Listen.Peers)
	} else {
		v.addFinding("listen.peers", "is needed")
	}
}

// checkListenAddress checks an address on which this process is to listen. Port 0
// (any free port) is allowed on loopback only: it is meant for tests, and no other
// VM would know the port.
func (v *validator) checkListenAddress(path string, a Address) {
	if a.Port() == 0 && !a.Addr().IsLoopback() {
		v.addFinding(path, "needs a port other than 0")
	}
	if a.Addr().IsMulticast() {
		v.addFinding(path, "must not be a multicast address")
	}
}

func (v *validator) checkPeers() {
	names, addresses := map[string]int{}, map[netip.AddrPort]int{}
	for i, p := range v.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		if !certificate.ValidName(p.Name) {
			v.addFinding(path+".name", "must be the name in the certificate of that process")
		} else if j, ok := names[p.Name]; ok {
			v.addFinding(path+".name", "%q is also peers[%d]", p.Name, j)
		}
		names[p.Name] = i
		a := p.Address
		switch j, taken := addresses[a.AddrPort]; {
		case !a.IsValid() || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast():
			v.addFinding(path+".address", "must be the IP address and port on which that process listens for peers")
			continue
		case taken:
			v.addFinding(path+".address", "%s is also that of peers[%d]", a, j)
		case p.Name != v.Name && a == v.Listen.Peers:
			v.addFinding(path+".address", "%s is this process's own", a)
		case !canReach(v.Listen.Peers, a):
			v.addFinding(path+".address", "%s cannot be reached from listen.peers, which has another IP version", a)
		}
		addresses[a.AddrPort] = i
		if p.Name == v.Name && p.Control != v.Has(RoleControl) {
			v.addFinding(path+".control", "contradicts the roles of this process")
		}
	}
}

// canReach reports whether a socket listening on own can send to other, judged by
// the IP versions. A socket on the unspecified IPv6 address handles both versions.
func canReach(own, other Address) bool {
	dualStack := own.Addr().Is6() && own.Addr().IsUnspecified()
	return !own.IsValid() || dualStack || own.Addr().Is4() == other.Addr().Is4()
}

func (v *validator) checkControl() {
	switch n := len(v.ControlNames()); {
	case n == 0:
		v.addFinding("peers", "no process has the role %q; mark three or five peers with \"control\": true", RoleControl)
	case n%2 == 0:
		v.addFinding("peers", "%d processes have the role %q; an odd number tolerates as many failures with one VM less", n, RoleControl)
	case n > maxReplicas:
		v.addFinding("peers", "%d processes have the role %q; at most %d are sensible", n, RoleControl, maxReplicas)
	}
	if !v.Has(RoleControl) {
		return
	}
	if v.Data == "" {
		v.addFinding("data", "the role %q needs a folder on a disk", RoleControl)
	} else if err := checkWritable(v.Data); err != nil {
		v.addFinding("data", "the role %q needs a disk: %v", RoleControl, err)
	}
}

// checkWritable checks that files can be created in a folder or, if the folder
// does not exist yet, in its parent.
func checkWritable(folder string) error {
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

// Single reports whether the process has neither peers nor certificates, so that
// Prepare creates the certificates.
func (s *Settings) Single() bool {
	return len(s.PeerAddresses()) == 0 && s.Certificates == Certificates{}
}

func (v *validator) checkCertificates(now time.Time) {
	if v.Single() {
		if v.Data == "" {
			v.addFinding("data", "without certificates, a folder is needed to make them in")
		}
		return
	}
	readable := true
	c := v.Certificates
	for _, p := range [...][2]string{{"authority", c.Authority}, {"certificate", c.Certificate}, {"key", c.Key}} {
		path := "certificates." + p[0]
		if p[1] == "" {
			v.addFinding(path, "is needed")
			readable = false
		} else if f, err := os.Open(p[1]); err != nil {
			v.addFinding(path, "%v", err)
			readable = false
		} else if err := f.Close(); err != nil {
			v.addFinding(path, "%v", err)
		}
	}
	if !readable {
		return
	}
	if err := certificate.Check(c.Files(), v.Name, now); err != nil {
		v.addFinding("certificates", "%v", err)
	}
	if info, err := os.Stat(c.Key); err == nil && info.Mode().Perm()&0o077 != 0 {
		v.addFinding("certificates.key", "other users may read %s; set its mode to 0600", c.Key)
	}
}

func (v *validator) checkOperators() {
	for i, d := range v.Settings.Operators {
		if slices.Contains(v.Settings.Operators[:i], d) {
			v.addFinding(fmt.Sprintf("operators[%d]", i), "the digest is named twice")
		}
	}
}

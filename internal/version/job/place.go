package job

import (
	"net/netip"
	"net/url"
	"strings"
	"unicode/utf8"

	"golang.org/x/net/idna"
)

// A queue is found by the host and the path of a request. Operators and callers spell both as they like,
// so hosts and paths are compared, stored and sent between processes in one normal form only. It is
// that of RFC 3986, section 6.2, and RFC 9110, section 4.2.3.

// defaultPort is the port that a host without one means.
const defaultPort = "80"

// pathBytes are the bytes that a path has unencoded, besides letters, digits and unreserved marks.
const pathBytes = "/:@!$&'()*+,;="

// NormalHost returns the normal form of a host with or without a port, as in a Host header: without the
// default port and the dot of a full domain name, in lower case, with names of other scripts as in the
// DNS. What is no host is returned so that it equals nothing but itself.
func NormalHost(host string) string {
	name, port := splitPort(host)
	if a, err := netip.ParseAddr(strings.Trim(name, "[]")); err == nil && a.Is6() && a.Zone() == "" {
		name = "[" + a.String() + "]"
	} else {
		name = normalName(name)
	}
	if port = strings.TrimLeft(port, "0"); port == "" || port == defaultPort {
		return name
	}
	return name + ":" + port
}

// splitPort splits a host from its port, which may be empty or absent.
func splitPort(host string) (name, port string) {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.HasSuffix(host, "]") || strings.Trim(host[i+1:], "0123456789") != "" {
		return host, ""
	}
	if !strings.HasPrefix(host, "[") && strings.Count(host, ":") > 1 {
		return host, "" // an IPv6 address without brackets
	}
	return host[:i], host[i+1:]
}

// escaper encodes what would mean something else in a normal form.
var escaper = strings.NewReplacer("%", "%25", ":", "%3A", "[", "%5B", "]", "%5D")

// normalName returns the normal form of the name of a host.
func normalName(name string) string {
	if decoded, err := url.PathUnescape(name); err == nil {
		name = decoded
	}
	name = strings.ToLower(strings.TrimRight(name, "."))
	if isASCII(name) {
		return escaper.Replace(name)
	}
	if ascii, err := idna.Lookup.ToASCII(name); err == nil {
		return ascii
	}
	return strings.ReplaceAll(url.PathEscape(name), ":", "%3A")
}

func isASCII(s string) bool {
	for i := range len(s) {
		if s[i] >= utf8.RuneSelf {
			return false
		}
	}
	return true
}

// anyPort returns a normal host without its port. A queue at a host without a port takes requests to
// all ports: the platform decides at which ones callers arrive.
func anyPort(host string) string {
	name, _ := splitPort(host)
	return name
}

// HostMatches reports whether a queue at a host takes requests to another one, both in normal form.
func HostMatches(queue, request string) bool {
	return queue == request || queue == anyPort(request)
}

// NormalPath returns the normal form of a path or of a prefix of paths: percent-encoded as little as
// possible, in upper case. Segments with dots stay, since a prefix counts as it is written.
func NormalPath(path string) string {
	if isNormal(path) {
		return path
	}
	const digits = "0123456789ABCDEF"
	b := make([]byte, 0, len(path)+8)
	for i := 0; i < len(path); i++ {
		c, encoded := path[i], false
		if c == '%' && i+2 < len(path) {
			high, low := hexDigit(path[i+1]), hexDigit(path[i+2])
			if encoded = high >= 0 && low >= 0; encoded {
				c = byte(high<<4 | low)
				i += 2
			}
		}
		if isUnreserved(c) || !encoded && strings.IndexByte(pathBytes, c) >= 0 {
			b = append(b, c)
		} else {
			b = append(b, '%', digits[c>>4], digits[c&15])
		}
	}
	return string(b)
}

// isNormal reports whether a path has nothing that NormalPath changes, as nearly all have.
func isNormal(path string) bool {
	for i := range len(path) {
		if c := path[i]; !isUnreserved(c) && strings.IndexByte(pathBytes, c) < 0 {
			return false
		}
	}
	return true
}

// isUnreserved reports whether a byte means the same percent-encoded or not.
func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// hexDigit returns the value of a hexadecimal digit, or a negative number.
func hexDigit(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// Normalize puts the places of the queues into their normal form. Catalogues of earlier builds have them
// as the operator wrote them.
func (c *Catalogue) Normalize() {
	for i := range c.Queues {
		q := &c.Queues[i]
		q.Host, q.Prefix = NormalHost(q.Host), NormalPath(q.Prefix)
	}
}

// normalize does so for the place of a job's queue.
func (j *Job) normalize() { j.Host, j.Prefix = NormalHost(j.Host), NormalPath(j.Prefix) }

// Find returns the queue that requests to a host and a path in normal form are for, the one with the
// longest prefix, or nil if there is none. Of two, the one at the port of the request counts.
func (c *Catalogue) Find(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if !strings.HasPrefix(path, q.Prefix) || !HostMatches(q.Host, host) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) || len(q.Prefix) == len(best.Prefix) && q.Host == host {
			best = q
		}
	}
	return best
}

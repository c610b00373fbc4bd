package setup

import (
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// namePattern matches the names of instances, data centres, regions and engine
// kinds.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const badName = "%q is not a name: up to 63 of a-z, 0-9, '.', '_' and '-', first a letter or digit"

func name(at func(*Settings) *string) setter {
	return func(p *parser, value string) string {
		if !namePattern.MatchString(value) {
			return fmt.Sprintf(badName, value)
		}
		*at(&p.out) = value
		return ""
	}
}

func checkAddress(value string) string {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Sprintf("%q is not an IP number and port, such as 10.1.0.11:8080", value)
	}
	return ""
}

func address(at func(*Settings) *string) setter {
	return func(p *parser, value string) string {
		if reason := checkAddress(value); reason != "" {
			return reason
		}
		*at(&p.out) = value
		return ""
	}
}

func baseURL(at func(*Settings) *string) setter {
	return func(p *parser, value string) string {
		u, err := url.Parse(value)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return fmt.Sprintf("%q is not a URL that begins with http:// or https://", value)
		}
		if u.User != nil || u.RawQuery != "" || u.Fragment != "" {
			return "the URL may have no user, query or fragment"
		}
		*at(&p.out) = strings.TrimSuffix(value, "/")
		return ""
	}
}

func duration(at func(*Settings) *time.Duration, low, high time.Duration) setter {
	return func(p *parser, value string) string {
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Sprintf("%q is not a time, such as 500ms or 10s", value)
		}
		if d < low || d > high {
			return fmt.Sprintf("%s is out of range, want %s to %s", value, low, high)
		}
		*at(&p.out) = d
		return ""
	}
}

// count returns a setter for a whole number from 1 to maxCount.
func count(at func(*Settings) *int) setter {
	return func(p *parser, value string) string {
		n, err := strconv.Atoi(value)
		if err != nil {
			return fmt.Sprintf("%q is not a whole number", value)
		}
		if n < 1 || n > maxCount {
			return fmt.Sprintf("%d is out of range, want 1 to %d", n, maxCount)
		}
		*at(&p.out) = n
		return ""
	}
}

// amount returns a setter for a number from 0 to maxCount, which may be a
// fraction.
func amount(at func(*Settings) *float64) setter {
	return func(p *parser, value string) string {
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(x) {
			return fmt.Sprintf("%q is not a number", value)
		}
		if x < 0 || x > maxCount {
			return fmt.Sprintf("%s is out of range, want 0 to %d", value, maxCount)
		}
		*at(&p.out) = x
		return ""
	}
}

// units lists the units of sizes. Longer suffixes come first, so that the empty
// suffix matches last.
var units = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"", 1}}

func size(at func(*Settings) *int64, low, high int64) setter {
	return func(p *parser, value string) string {
		n, ok := bytesOf(value)
		if !ok {
			return fmt.Sprintf("%q is not a size in bytes, such as 4096, 64KiB or 4MiB", value)
		}
		if n < low || n > high {
			return fmt.Sprintf("%s is out of range, want %d to %d bytes", value, low, high)
		}
		*at(&p.out) = n
		return ""
	}
}

func bytesOf(value string) (int64, bool) {
	for _, u := range units {
		digits, ok := strings.CutSuffix(value, u.suffix)
		if !ok {
			continue
		}
		digits = strings.TrimSpace(digits)
		if n, err := strconv.ParseInt(digits, 10, 64); err == nil && n <= (1<<62)/u.bytes {
			return n * u.bytes, true
		}
		x, err := strconv.ParseFloat(digits, 64)
		if x *= float64(u.bytes); err != nil || math.IsNaN(x) || math.Abs(x) > 1<<62 {
			return 0, false
		}
		return int64(x), true
	}
	return 0, false
}

func fraction(at func(*Settings) *float64) setter {
	return func(p *parser, value string) string {
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x <= 1) {
			return fmt.Sprintf("%q is not a number from 0 to 1", value)
		}
		*at(&p.out) = x
		return ""
	}
}

func choice(at func(*Settings) *string, of ...string) setter {
	return func(p *parser, value string) string {
		for _, c := range of {
			if value == c {
				*at(&p.out) = value
				return ""
			}
		}
		return fmt.Sprintf("%q is none of %s", value, strings.Join(of, ", "))
	}
}

func spanChoice(p *parser, value string) string {
	for s := SpanCentre; s <= SpanRegion; s++ {
		if s.String() == value {
			p.out.Instance.Span = s
			return ""
		}
	}
	return fmt.Sprintf("%q is none of datacentre, region", value)
}

func loadChoice(p *parser, value string) string {
	for l := LoadAuto; l <= LoadExpected; l++ {
		if l.String() == value {
			p.out.Balance.Load = l
			return ""
		}
	}
	return fmt.Sprintf("%q is none of auto, reported, expected", value)
}

func teamsChoice(p *parser, value string) string {
	for s := TeamsInstance; s <= TeamsFleet; s++ {
		if s.String() == value {
			p.out.Balance.Teams = s
			return ""
		}
	}
	return fmt.Sprintf("%q is none of instance, fleet", value)
}

func goalChoice(p *parser, value string) string {
	for g := GoalThroughput; g <= GoalRecovery; g++ {
		if g.String() == value {
			p.out.Goal = g
			return ""
		}
	}
	return fmt.Sprintf("%q is none of throughput, recovery", value)
}

// path returns a setter for the path of a file that must be readable. A
// relative path starts at the directory of the settings file.
func path(at func(*Settings) *string) setter {
	return func(p *parser, value string) string {
		if value == "" {
			return "missing"
		}
		if !filepath.IsAbs(value) {
			value = filepath.Join(p.dir, value)
		}
		*at(&p.out) = value
		if !p.checkFiles {
			return ""
		}
		f, err := os.Open(value)
		if err != nil {
			return "cannot be read: " + err.Error()
		}
		_ = f.Close()
		return ""
	}
}

func peerKey(instance string) setter {
	return func(p *parser, value string) string {
		if !namePattern.MatchString(instance) {
			return fmt.Sprintf(badName, instance)
		}
		if reason := checkAddress(value); reason != "" {
			return reason
		}
		for _, other := range p.out.Peers {
			if other.Address == value {
				return fmt.Sprintf("%s is the address of %s already", value, other.Name)
			}
		}
		p.out.Peers = append(p.out.Peers, Peer{Name: instance, Address: value})
		return ""
	}
}

func fencingKey(kind string) setter {
	return func(p *parser, value string) string {
		if !namePattern.MatchString(kind) {
			return fmt.Sprintf(badName, kind)
		}
		if value != "refuse" && value != "ignore" {
			return fmt.Sprintf("%q is none of refuse, ignore", value)
		}
		if p.out.Fenced == nil {
			p.out.Fenced = map[string]bool{}
		}
		p.out.Fenced[kind] = value == "refuse"
		return ""
	}
}

package setup

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
)

// checkTogether checks settings that depend on each other.
func (p *parser) checkTogether() {
	p.deriveValues()
	p.checkListeners()
	p.checkPeers()
	p.checkLimits()
	p.checkCerts("tls callers", p.out.TLS.Callers)
	p.checkCerts("tls peers", p.out.TLS.Peers)
	p.checkCerts("tls operators", p.out.TLS.Operators)
}

// deriveValues sets values that default to other settings.
func (p *parser) deriveValues() {
	if p.out.Platform.Objects == "" {
		p.out.Platform.Objects = p.out.Platform.Table
	}
	if p.out.Platform.List == "" {
		p.out.Platform.List = p.out.Platform.Table
	}
}

// checkListeners rejects two endpoints with the same address. It also rejects
// the operators' and peers' endpoints, which can control the fleet, on an
// address outside loopback without client certificates.
func (p *parser) checkListeners() {
	l := p.out.Listen
	endpoints := []struct{ key, at string }{{"callers", l.Callers}, {"peers", l.Peers}, {"operators", l.Operators}}
	for i, a := range endpoints {
		for _, b := range endpoints[:i] {
			if a.at != "" && a.at == b.at && !anyPort(a.at) {
				p.addProblem("listen", a.key, fmt.Sprintf("%s is the address for %s already", a.at, b.key))
			}
		}
	}
	if exposed(l.Operators) && p.out.TLS.Operators.CA == "" {
		p.addProblem("listen", "operators", "an address outside loopback needs [tls operators] with ca")
	}
	if exposed(l.Peers) && p.out.TLS.Peers.CA == "" {
		p.addProblem("listen", "peers", "an address outside loopback needs [tls peers] with ca")
	}
}

// anyPort reports whether the operating system picks a free port, which differs
// each time.
func anyPort(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() == 0
}

func exposed(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && !a.Addr().IsLoopback()
}

func (p *parser) checkPeers() {
	if len(p.out.Peers) > 0 && p.out.Listen.Peers == "" {
		p.addProblem("listen", "peers", "missing, though [peers] names others")
	}
	for _, other := range p.out.Peers {
		if other.Name == p.out.Instance.Name {
			p.addProblem("peers", other.Name, "is this instance itself")
		}
	}
}

func (p *parser) checkLimits() {
	l := p.out.Limits
	if l.Team > l.Streams {
		p.addProblem("limits", "team", fmt.Sprintf("%d is above streams, which is %d", l.Team, l.Streams))
	}
	if l.Connection > l.Streams {
		p.addProblem("limits", "connection", fmt.Sprintf("%d is above streams, which is %d", l.Connection, l.Streams))
	}
}

// checkCerts loads the certificate files of an endpoint, so that a bad file is
// reported at the check and not at the first connection.
func (p *parser) checkCerts(section string, pair Pair) {
	if !p.checkFiles || !pair.Set() || !exists(pair.Cert) || !exists(pair.Key) {
		return
	}
	if _, err := tls.LoadX509KeyPair(pair.Cert, pair.Key); err != nil {
		p.addProblem(section, "cert", "certificate and key do not load: "+err.Error())
	}
	if pair.CA == "" || !exists(pair.CA) {
		return
	}
	data, err := os.ReadFile(pair.CA)
	if err == nil && !x509.NewCertPool().AppendCertsFromPEM(data) {
		p.addProblem(section, "ca", "holds no certificate")
	}
}

func exists(file string) bool {
	_, err := os.Stat(file)
	return err == nil
}

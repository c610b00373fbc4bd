package setup

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
)

// together checks what single values cannot show.
func (p *parser) together() {
	p.fill()
	p.listeners()
	p.peering()
	p.bounds()
	p.certs("tls callers", p.out.TLS.Callers)
	p.certs("tls peers", p.out.TLS.Peers)
	p.certs("tls operators", p.out.TLS.Operators)
}

// fill sets what follows from other settings.
func (p *parser) fill() {
	if p.out.Platform.Objects == "" {
		p.out.Platform.Objects = p.out.Platform.Table
	}
	if p.out.Platform.List == "" {
		p.out.Platform.List = p.out.Platform.Table
	}
}

// listeners refuses two endpoints at one address, and the two endpoints that
// can steer the fleet where others than this machine reach them unchecked.
func (p *parser) listeners() {
	l := p.out.Listen
	ends := []struct{ key, at string }{{"callers", l.Callers}, {"peers", l.Peers}, {"operators", l.Operators}}
	for i, a := range ends {
		for _, b := range ends[:i] {
			if a.at != "" && a.at == b.at && !anyPort(a.at) {
				p.fault("listen", a.key, fmt.Sprintf("%s is the address for %s already", a.at, b.key))
			}
		}
	}
	if exposed(l.Operators) && p.out.TLS.Operators.CA == "" {
		p.fault("listen", "operators", "an address outside loopback needs [tls operators] with ca")
	}
	if exposed(l.Peers) && p.out.TLS.Peers.CA == "" {
		p.fault("listen", "peers", "an address outside loopback needs [tls peers] with ca")
	}
}

// anyPort reports whether the system picks the port, a new one each time.
func anyPort(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() == 0
}

func exposed(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && !a.Addr().IsLoopback()
}

func (p *parser) peering() {
	if len(p.out.Peers) > 0 && p.out.Listen.Peers == "" {
		p.fault("listen", "peers", "missing, though [peers] names others")
	}
	for _, other := range p.out.Peers {
		if other.Name == p.out.Instance.Name {
			p.fault("peers", other.Name, "is this instance itself")
		}
	}
}

func (p *parser) bounds() {
	l := p.out.Limits
	if l.Team > l.Streams {
		p.fault("limits", "team", fmt.Sprintf("%d is above streams, which is %d", l.Team, l.Streams))
	}
	if l.Connection > l.Streams {
		p.fault("limits", "connection", fmt.Sprintf("%d is above streams, which is %d", l.Connection, l.Streams))
	}
}

// certs loads the files of an endpoint, so that a bad one is told at the
// check and not at the first connection.
func (p *parser) certs(section string, pair Pair) {
	if !p.files || !pair.Set() || !present(pair.Cert) || !present(pair.Key) {
		return
	}
	if _, err := tls.LoadX509KeyPair(pair.Cert, pair.Key); err != nil {
		p.fault(section, "cert", "certificate and key do not load: "+err.Error())
	}
	if pair.CA == "" || !present(pair.CA) {
		return
	}
	data, err := os.ReadFile(pair.CA)
	if err == nil && !x509.NewCertPool().AppendCertsFromPEM(data) {
		p.fault(section, "ca", "holds no certificate")
	}
}

func present(file string) bool {
	_, err := os.Stat(file)
	return err == nil
}

package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"io"
	"log"
	"math/big"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/wire/peer"

	"github.com/go-faster/errors"
)

// authority is a CA that signs the certificates of the instances in a test.
type authority struct {
	t    testing.TB
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pool *x509.CertPool
}

func newAuthority(t testing.TB) *authority {
	a := &authority{t: t, pool: x509.NewCertPool()}
	a.cert, a.key = a.sign("authority")
	a.pool.AddCert(a.cert)
	return a
}

func (a *authority) sign(name string) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(48 * time.Hour),
		IsCA: a.cert == nil, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := template, key
	if a.cert != nil {
		parent, signer = a.cert, a.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert, key
}

func (a *authority) config(name string) *tls.Config {
	cert, key := a.sign(name)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{cert.Raw}, PrivateKey: key}},
		RootCAs:      a.pool, ClientCAs: a.pool, ClientAuth: tls.RequireAndVerifyClientCert,
		MinVersion: tls.VersionTLS13,
	}
}

// network is a set of hubs connected by in-memory pipes, so that all timing is
// under the fake clock of synctest.
type network struct {
	t           *testing.T
	mu          sync.Mutex
	listeners   map[string]chan net.Conn
	unreachable map[string]bool
	open        map[string][]net.Conn
	hubs        []*instance
}

// instance is one instance of a network.
type instance struct {
	hub     *peer.Hub
	name    string
	mu      sync.Mutex
	members []node.Peer
	ready   bool
	stop    context.CancelFunc
	done    chan struct{}
}

func newSite(t *testing.T) *network {
	return &network{t: t, listeners: map[string]chan net.Conn{}, unreachable: map[string]bool{}, open: map[string][]net.Conn{}}
}

func (s *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	s.mu.Lock()
	accept, cut := s.listeners[address], s.unreachable[address]
	s.mu.Unlock()
	if accept == nil || cut {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	select {
	case accept <- far:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	s.mu.Lock()
	s.open[address] = append(s.open[address], near)
	s.mu.Unlock()
	return near, nil
}

// sever closes all connections that were dialled to an address.
func (s *network) sever(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open[address] {
		_ = c.Close()
	}
	s.open[address] = nil
}

type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// add runs an instance; change may modify its hub before it starts.
func (s *network) add(name string, config *tls.Config, change func(*peer.Hub)) *instance {
	address := fmt.Sprintf("10.0.0.%d:7000", len(s.hubs)+1)
	self := node.Peer{ID: spec.InstanceID(name), DataCentre: "klang", URL: "https://" + address}
	h := &instance{name: name, done: make(chan struct{})}
	h.hub = &peer.Hub{
		Self: self, TLS: config, Dial: s.dial, HandleCommand: h.handleCommand,
		Logic: &node.Logic{Local: self, StartTime: 1, Rand: mrand.New(mrand.NewPCG(1, uint64(len(s.hubs))))},
	}
	if change != nil {
		change(h.hub)
	}
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	s.mu.Lock()
	s.listeners[address] = l.conns
	s.mu.Unlock()
	server := &http.Server{Handler: h.hub.Handler(), TLSConfig: config, ErrorLog: log.New(io.Discard, "", 0)}
	go func() {
		if config == nil {
			_ = server.Serve(l)
			return
		}
		_ = server.ServeTLS(l, "", "")
	}()
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() {
		defer close(h.done)
		_ = h.hub.Run(ctx)
		close(l.done)
		_ = server.Close()
	}()
	s.hubs = append(s.hubs, h)
	return h
}

func (h *instance) handleCommand(c node.Command) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch c := c.(type) {
	case node.Members:
		h.members = c.Peers
	case node.Ready:
		h.ready = true
	}
}

func (h *instance) hasMembers(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready && len(h.members) == n
}

// announce sends the list of all instances to each of them.
func (s *network) announce() {
	var peers []node.Peer
	for _, h := range s.hubs {
		peers = append(peers, h.hub.Self)
	}
	for _, h := range s.hubs {
		h.hub.Post(node.DiscoveryList{Peers: peers})
	}
}

// waitForMembers waits, in fake time, until every instance has n other members.
func (s *network) waitForMembers(n int) {
	s.t.Helper()
	for range 600 {
		time.Sleep(50 * time.Millisecond)
		all := true
		for _, h := range s.hubs {
			all = all && h.hasMembers(n)
		}
		if all {
			return
		}
	}
	s.t.Fatalf("got instances without %d other members after 30s, want all with them", n)
}

func (s *network) close() {
	for _, h := range s.hubs {
		h.stop()
	}
	for _, h := range s.hubs {
		<-h.done
	}
}

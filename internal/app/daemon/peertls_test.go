package daemon_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"fulmarwick/internal/app/daemon"
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fakes/trial"
	"fulmarwick/internal/fakes/trust"
	"fulmarwick/internal/state/store"
	"fulmarwick/internal/wire/admin"

	"go.uber.org/zap"
)

// runPeerTLS runs an instance whose endpoint for peers uses the certificate in
// files.
func runPeerTLS(t *testing.T, site *trial.Site, name string, files trust.Files) (callers, peers string) {
	t.Helper()
	var at [3]net.Listener
	for i := range at {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		at[i] = l
	}
	s := setup.Default()
	s.Instance = setup.Instance{Name: name, DataCentre: trial.Centre}
	s.Platform = setup.Platform{Table: site.URL(), Watch: 20 * time.Millisecond}
	s.Times.Grace = 0
	s.TLS.Peers = setup.Pair{Cert: files.Cert, Key: files.Key, CA: files.CA}
	d := &daemon.Daemon{Settings: s, Log: zap.NewNop(), Listener: at[0], Operators: at[1], Peers: at[2]}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("got %v from Run of %s, want nil", err, name)
		}
	})
	site.List(store.ListedBody{
		ID: name, Role: store.RoleEntry, State: "live", DataCentre: trial.Centre, URL: "https://" + at[2].Addr().String(),
	})
	return "http://" + at[1].Addr().String(), at[2].Addr().String()
}

// Two instances connect by mutual TLS as configured in their settings. A client
// that trusts their certificate authority but has no certificate signed by it
// must fail in the TLS handshake and reach no handler. Otherwise it could send
// messages in the name of another instance.
func TestInstancesTrustOnlyTheirAuthority(t *testing.T) {
	site := &trial.Site{}
	if err := site.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	ca, err := trust.New()
	if err != nil {
		t.Fatal(err)
	}
	var operators, peers [2]string
	var authority string
	for i, name := range []string{"klang-1", "klang-2"} {
		files, err := ca.Write(t.TempDir(), name, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		authority = files.CA
		operators[i], peers[i] = runPeerTLS(t, site, name, files)
	}
	for _, base := range operators {
		for peerCount(t, base) != 1 {
			time.Sleep(pollInterval)
		}
	}
	pool := x509.NewCertPool()
	pem, err := os.ReadFile(authority)
	if err != nil || !pool.AppendCertsFromPEM(pem) {
		t.Fatalf("got no authority from %s: %v", authority, err)
	}
	noCert := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}}
	resp, err := noCert.Get("https://" + peers[0] + "/v1/peer")
	if err == nil {
		_ = resp.Body.Close()
		t.Errorf("got status %d without a certificate, want a failed handshake", resp.StatusCode)
	}
}

// peerCount returns how many other instances the instance at base knows.
func peerCount(t *testing.T, base string) int {
	t.Helper()
	c := &admin.Client{Base: base, HTTP: http.DefaultClient}
	s, err := c.Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return len(s.Instances)
}

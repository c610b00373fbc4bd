package daemon_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"fulmarwick/internal/app/daemon"
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fakes/trial"
	"fulmarwick/internal/fakes/trust"
	"fulmarwick/internal/wire/admin"
	"fulmarwick/internal/wire/certs"

	"go.uber.org/zap"
)

// secured runs an instance whose endpoints use TLS from its settings and
// returns both base URLs.
func secured(t *testing.T, pair setup.Pair) (callers, operators string) {
	t.Helper()
	site := &trial.Site{}
	if err := site.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	var at [2]net.Listener
	for i := range at {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		at[i] = l
	}
	settings := setup.Default()
	settings.Instance = setup.Instance{Name: "t-1", DataCentre: trial.Centre}
	settings.Platform = setup.Platform{Table: site.URL(), Watch: 20 * time.Millisecond}
	settings.Times.Grace = 0
	settings.TLS = setup.TLS{Callers: setup.Pair{Cert: pair.Cert, Key: pair.Key}, Operators: pair}
	d := &daemon.Daemon{Settings: settings, Log: zap.NewNop(), Listener: at[0], Operators: at[1]}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("got %v from Run, want nil", err)
		}
		site.Close()
	})
	return "https://" + at[0].Addr().String(), "https://" + at[1].Addr().String()
}

// Callers reach the instance by TLS, and HTTP/2, without a certificate of
// their own. The operators' endpoint turns away whoever shows none: it can
// stop the instance.
func TestEndpointsUseTheCertificatesOfTheSettings(t *testing.T) {
	ca, err := trust.New()
	if err != nil {
		t.Fatal(err)
	}
	files, err := ca.Write(t.TempDir(), "klang-1", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	callers, operators := secured(t, setup.Pair{Cert: files.Cert, Key: files.Key, CA: files.CA})
	source := &certs.Source{Cert: files.Cert, Key: files.Key, CA: files.CA, Log: zap.NewNop()}
	if err := source.Open(); err != nil {
		t.Fatal(err)
	}
	anonymous := source.Client("127.0.0.1")
	anonymous.Certificates = nil
	transport := &http.Transport{TLSClientConfig: anonymous, ForceAttemptHTTP2: true}
	defer transport.CloseIdleConnections()
	stranger := &http.Client{Transport: transport}
	resp, err := stranger.Get(callers + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.ProtoMajor != 2 {
		t.Errorf("got %d by %s, want 200 by HTTP/2", resp.StatusCode, resp.Proto)
	}
	if resp, err := stranger.Get(operators + "/v1/status"); err == nil {
		_ = resp.Body.Close()
		t.Errorf("got %d from the operators' endpoint without a certificate, want the connection refused", resp.StatusCode)
	}
	known := &http.Transport{TLSClientConfig: source.Client("127.0.0.1")}
	defer known.CloseIdleConnections()
	c := &admin.Client{Base: operators, HTTP: &http.Client{Transport: known}}
	if got, err := c.Status(t.Context()); err != nil || got.Instance != "t-1" {
		t.Errorf("got %+v, %v with a certificate, want the status", got, err)
	}
}

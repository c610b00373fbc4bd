package daemon_test

import (
	"net/http"
	"testing"
	"time"

	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fakes/trial"
	"fulmarwick/internal/fakes/trust"
	"fulmarwick/internal/wire/admin"
	"fulmarwick/internal/wire/certs"

	"go.uber.org/zap"
)

// Callers reach the instance over TLS and HTTP/2 without a client certificate.
// The operators' endpoint must reject clients without a certificate, because it
// can stop the instance.
func TestEndpointsUseTheCertificatesOfTheSettings(t *testing.T) {
	ca, err := trust.New()
	if err != nil {
		t.Fatal(err)
	}
	files, err := ca.Write(t.TempDir(), "klang-1", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	site := &trial.Site{}
	if err := site.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	pair := setup.Pair{Cert: files.Cert, Key: files.Key, CA: files.CA}
	callers, operators := run(t, site.URL(), setup.TLS{Callers: setup.Pair{Cert: pair.Cert, Key: pair.Key}, Operators: pair})
	callers, operators = "https://"+callers, "https://"+operators
	source := &certs.Source{Cert: files.Cert, Key: files.Key, CA: files.CA, Log: zap.NewNop()}
	if err := source.Open(); err != nil {
		t.Fatal(err)
	}
	anonymous := source.Client("127.0.0.1")
	anonymous.Certificates = nil
	transport := &http.Transport{TLSClientConfig: anonymous, ForceAttemptHTTP2: true}
	defer transport.CloseIdleConnections()
	noCert := &http.Client{Transport: transport}
	resp, err := noCert.Get(callers + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.ProtoMajor != 2 {
		t.Errorf("got %d by %s, want 200 by HTTP/2", resp.StatusCode, resp.Proto)
	}
	if resp, err := noCert.Get(operators + "/v1/status"); err == nil {
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

package cmds

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/url"
	"time"

	"fulmarwick/internal/wire/admin"
	"fulmarwick/internal/wire/certs"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

// requestTimeout is the timeout of one request to an instance.
const requestTimeout = 30 * time.Second

// defaultURL is the default operator endpoint.
const defaultURL = "http://127.0.0.1:7070"

// remoteFlags are the flags of commands that send requests to instances.
type remoteFlags struct {
	urls []string
	cert string
	key  string
	ca   string
}

// register adds the flags to a command.
func (r *remoteFlags) register(c *cobra.Command) {
	f := c.Flags()
	f.StringSliceVar(&r.urls, "url", []string{defaultURL}, "operator endpoint of an instance; more than one may be given")
	f.StringVar(&r.cert, "cert", "", "client certificate, for an endpoint with TLS")
	f.StringVar(&r.key, "key", "", "key of the certificate")
	f.StringVar(&r.ca, "ca", "", "CA certificates that verify the certificate of the instance")
}

// clients returns one client for each URL.
func (r *remoteFlags) clients() ([]*admin.Client, error) {
	var out []*admin.Client
	for _, u := range r.urls {
		c, err := r.client(u)
		if err != nil {
			return nil, err
		}
		out = append(out, c)
	}
	return out, nil
}

// singleClient returns the client for commands that act on a single instance.
func (r *remoteFlags) singleClient() (*admin.Client, error) {
	if len(r.urls) != 1 {
		return nil, errors.Wrap(errUsage, "this command takes one --url")
	}
	return r.client(r.urls[0])
}

// client returns a client for the operator endpoint at base.
func (r *remoteFlags) client(base string) (*admin.Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, errors.Wrapf(errUsage, "--url %q is not a URL that begins with http:// or https://", base)
	}
	transport := &http.Transport{}
	if u.Scheme == "https" {
		if transport.TLSClientConfig, err = r.tlsConfig(u.Hostname()); err != nil {
			return nil, err
		}
	}
	return &admin.Client{Base: base, HTTP: &http.Client{Timeout: requestTimeout, Transport: transport}}, nil
}

// tlsConfig returns the TLS configuration for connections to host.
func (r *remoteFlags) tlsConfig(host string) (*tls.Config, error) {
	if r.cert == "" || r.key == "" || r.ca == "" {
		return nil, errors.Wrap(errUsage, "an https URL needs --cert, --key and --ca")
	}
	source := &certs.Source{Cert: r.cert, Key: r.key, CA: r.ca, Log: zap.NewNop()}
	if err := source.Open(); err != nil {
		return nil, err
	}
	return source.Client(host), nil
}

// reply is the response of one instance, or the error of the request.
type reply struct {
	url    string
	status admin.Status
	err    error
}

// fetchStatuses requests the status of every instance. Unreachable instances are in the
// result with their errors.
func fetchStatuses(ctx context.Context, clients []*admin.Client) []reply {
	out := make([]reply, len(clients))
	for i, c := range clients {
		status, err := c.Status(ctx)
		out[i] = reply{url: c.Base, status: status, err: err}
	}
	return out
}

package cmds

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"fulmarwick/internal/app/daemon"
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fakes/trial"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"
)

const (
	// trialLayerTime is the time that a fake engine takes for one layer.
	trialLayerTime = 200 * time.Microsecond
	// trialWatchInterval is the interval between reads of the list of upstreams and of
	// the engine reports.
	trialWatchInterval = 500 * time.Millisecond
)

func newTrial() *cobra.Command {
	var listen, operators string
	c := &cobra.Command{
		Use:     "trial",
		Short:   "Run the whole system on loopback with stand-ins, to try it out",
		Example: "  fulmarwick trial --listen 127.0.0.1:8080",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runTrial(cmd, listen, operators)
		},
	}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:8080", "address for callers")
	c.Flags().StringVar(&operators, "operators", "127.0.0.1:7070", "address for operators")
	return c
}

func runTrial(cmd *cobra.Command, listen, operators string) error {
	site := &trial.Site{LayerTime: trialLayerTime}
	if err := site.Start(cmd.Context()); err != nil {
		return err
	}
	defer site.Close()
	listeners, err := listenAll(cmd.Context(), listen, operators)
	if err != nil {
		return err
	}
	settings := setup.Default()
	settings.Instance = setup.Instance{Name: "trial-1", DataCentre: trial.Centre, Region: "trial"}
	settings.Platform.Table = site.URL()
	settings.Platform.Watch = trialWatchInterval
	settings.Times.Grace = 0
	settings.Log = setup.Log{Level: "info", Format: "console"}
	log, err := newLog(settings.Log)
	if err != nil {
		return err
	}
	d := &daemon.Daemon{Log: log, Listener: listeners[0], Operators: listeners[1], Settings: settings, Build: buildVersion()}
	printTrial(cmd.OutOrStdout(), listeners[0].Addr().String(), listeners[1].Addr().String())
	return runInstance(cmd.Context(), d)
}

// listenAll opens a listener for each address, so that the addresses are known even if
// port 0 was requested.
func listenAll(ctx context.Context, addresses ...string) ([]net.Listener, error) {
	var out []net.Listener
	for _, address := range addresses {
		l, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
		if err != nil {
			return nil, errors.Wrap(err, "trial: listen")
		}
		out = append(out, l)
	}
	return out, nil
}

// printTrial prints commands to try on the running system.
func printTrial(out io.Writer, address, operators string) {
	_, _ = fmt.Fprintf(out, `Serving on http://%[1]s with stand-in engines, service and platform.

A streamed answer over a chain of engines:
  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' \
    -d '{"model":"%[3]s","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Explain my levy notice"}]}'

A payment that runs at most once; send it twice:
  curl http://%[1]s/v1/calls/payment -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: instalment-7' -d '{"amount":120}'
  curl http://%[1]s/v1/calls/payment/instalment-7 -H 'Authorization: Bearer %[2]s'

Targets, engines and metrics, the configuration, and a stop that cuts nothing:
  go run . status --url http://%[4]s
  curl http://%[4]s/metrics
  go run . show --url http://%[4]s
  go run . drain --url http://%[4]s

`, address, trial.Key, trial.Model, operators)
}

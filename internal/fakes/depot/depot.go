// Package depot runs a whole deployment in one process: the stand-in for the
// platform, its upstreams, and either instances of the router or plain forwarders
// to compare them with.
//
// It imports app/edge and the stand-in. The load command runs it in real time,
// tests run it in virtual time.
package depot

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"fulmarwick/internal/app/edge"
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fakes/drive"
	"fulmarwick/platform/stand"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// startupTime is how long instances take to start and to have all layers loaded.
const startupTime = 9 * time.Second

// Depot is a deployment. Set the exported fields before Open.
type Depot struct {
	// Instances is the number of instances, or of forwarders.
	Instances int
	// Baseline replaces all instances by plain forwarders; nil runs the router.
	Baseline *stand.Baseline
	// Deployment is the model and its engines. Without layers, the default deployment
	// of the stand-in is used.
	Deployment stand.Deployment
	// Retry is the retry budget; the zero value keeps that of Settings.
	Retry setup.Retry
	// Balance is by what instances choose; the zero value is the default.
	Balance setup.Balance
	// Kill is how long after a stop signal an instance is killed; zero means never.
	Kill time.Duration
	// Handshake is how long an engine takes to accept a connection.
	Handshake time.Duration
	// Log is the logger of the instances; nil logs nothing.
	Log *zap.Logger

	site      *stand.Site
	instances []*edge.Instance
	addresses []string
	wg        sync.WaitGroup
	mu        sync.Mutex
	errs      []error
}

// Settings returns the settings of instance n in the default deployment.
func Settings(n int) setup.Settings {
	return settings(n, stand.DefaultDeployment.Zones)
}

// settings returns the settings of instance n. Instances are spread over the data
// centres in zones, one after another.
func settings(n int, zones []stand.Zone) setup.Settings {
	f := setup.Default()
	zone := zones[n%len(zones)].Name
	f.Instance = setup.Instance{Name: fmt.Sprintf("edge-%d", n), DataCentre: zone, Region: "west"}
	f.Listen = setup.Listen{
		Callers: fmt.Sprintf("10.%d.0.1:8000", n+1), Ready: fmt.Sprintf("10.%d.0.1:8001", n+1), Mesh: fmt.Sprintf("10.%d.0.1:8002", n+1),
	}
	f.Platform.Table = "http://" + stand.StoreAddress
	f.Retry = setup.Retry{Ratio: 0.2, Allowance: 196, Window: 10 * time.Second}
	f.Times.Grace = time.Second
	return f
}

// Open starts the deployment and waits until the layers are loaded.
func (d *Depot) Open(ctx context.Context) error {
	d.site = stand.NewSite()
	d.site.HandshakeTime = d.Handshake
	if d.Deployment.Layers > 0 {
		d.site.Deployment = d.Deployment
	}
	d.site.Store.Put("op", "config", d.site.Config(1))
	d.site.AddUpstreams()
	if d.Log == nil {
		d.Log = zap.NewNop()
	}
	for n := range d.Instances {
		d.addresses = append(d.addresses, Settings(n).Listen.Callers)
		if d.Baseline == nil {
			d.startInstance(n)
		}
	}
	if d.Baseline != nil {
		return d.startForwarders(ctx)
	}
	time.Sleep(startupTime)
	return nil
}

func (d *Depot) startInstance(n int) {
	s := settings(n, d.site.Deployment.Zones)
	if d.Retry != (setup.Retry{}) {
		s.Retry = d.Retry
	}
	s.Balance = d.Balance
	s.Times.Kill = d.Kill
	i := &edge.Instance{Settings: s, Log: d.Log, Dial: d.site.DialFrom(s.Instance.Name), Listen: d.site.Net.Listen}
	d.instances = append(d.instances, i)
	d.wg.Go(func() {
		if err := i.Run(context.Background()); err != nil {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.errs = append(d.errs, errors.Wrapf(err, "depot: instance %d", n))
		}
	})
}

// startForwarders runs a plain forwarder at the address of each instance.
func (d *Depot) startForwarders(ctx context.Context) error {
	d.Baseline.PlaceEvenly(d.site)
	for _, address := range d.addresses {
		l, err := d.site.Net.Listen(ctx, address)
		if err != nil {
			return errors.Wrap(err, "depot: start forwarder")
		}
		server := &http.Server{Handler: d.Baseline, ReadHeaderTimeout: time.Minute}
		d.wg.Go(func() { _ = server.Serve(l) })
		context.AfterFunc(ctx, func() { _ = server.Close() })
	}
	return nil
}

// Site returns the stand-in for the platform and its upstreams.
func (d *Depot) Site() *stand.Site { return d.site }

// Routers returns the instances of the router.
func (d *Depot) Routers() []*edge.Instance { return slices.Clone(d.instances) }

// Close stops the deployment. Its error joins the failures of instances and the
// protocol violations that upstreams detected.
func (d *Depot) Close() error {
	for _, i := range d.instances {
		i.Stop()
	}
	if d.Baseline == nil {
		d.wg.Wait()
	}
	d.site.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	errs := d.errs
	for _, violation := range d.site.Violations() {
		errs = append(errs, errors.Errorf("depot: protocol violation: %s", violation))
	}
	return errors.Join(errs...)
}

// NewRun returns a run of workload w against the deployment.
func (d *Depot) NewRun(w drive.Workload) *drive.Run {
	return &drive.Run{Workload: w, Addresses: d.addresses, Dial: d.site.Dial, Fault: d.injectFault}
}

// injectFault injects a fault of a workload. Faults of engines hit the busiest ones.
func (d *Depot) injectFault(f drive.Fault) error {
	switch f.Kind {
	case drive.KindPipe:
		d.site.SetLinkSlowdown(f.Factor)
		return nil
	case drive.KindZone:
		for _, e := range d.site.Engines() {
			if e.Zone == f.Zone {
				d.site.Crash(e)
			}
		}
		return nil
	}
	for range f.Count {
		e := d.busiest()
		if e == nil {
			return errors.Errorf("depot: fault %s: no serving engine left", f.Kind)
		}
		switch f.Kind {
		case drive.KindCrash:
			d.site.Crash(e)
		case drive.KindHang:
			d.site.StopResponding(e)
		case drive.KindDrain:
			d.site.DrainEngine(e)
		case drive.KindSlow:
			d.site.SetSlowdown(e, f.Factor)
		default:
			return errors.Errorf("depot: unknown fault %s", f.Kind)
		}
	}
	return nil
}

// busiest returns the serving engine that the most runs pass, or nil if no engine
// serves. Its loss does the most harm.
func (d *Depot) busiest() *stand.Engine {
	var best *stand.Engine
	for _, e := range d.site.Engines() {
		if e.Serving() && (best == nil || e.Streams() > best.Streams()) {
			best = e
		}
	}
	return best
}

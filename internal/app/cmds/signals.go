package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// runInstance runs d until it ends. The first signal, or the end of ctx, begins
// its graceful stop; the second hurries it; more change nothing. The signals
// stay caught to the end, since their default would cut every request.
func runInstance(ctx context.Context, d instance) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	ended := make(chan struct{})
	defer close(ended)
	go handleSignals(ctx, signals, ended, d)
	if r, ok := d.(reloader); ok {
		hups := make(chan os.Signal, 1)
		signal.Notify(hups, syscall.SIGHUP)
		defer signal.Stop(hups)
		go handleReload(hups, ended, r)
	}
	return d.Run(context.WithoutCancel(ctx))
}

// reloader is what takes its settings again on SIGHUP. Where nothing takes the
// signal it ends the process.
type reloader interface {
	Reload()
}

func handleReload(hups <-chan os.Signal, ended <-chan struct{}, r reloader) {
	for {
		select {
		case <-hups:
			r.Reload()
		case <-ended:
			return
		}
	}
}

// stopper is what signals act on.
type stopper interface {
	Stop()
	CloseListeners()
}

func handleSignals(ctx context.Context, signals <-chan os.Signal, ended <-chan struct{}, s stopper) {
	select {
	case <-signals:
	case <-ctx.Done():
	case <-ended:
		return
	}
	s.Stop()
	for {
		select {
		case <-signals:
			s.CloseListeners()
		case <-ended:
			return
		}
	}
}

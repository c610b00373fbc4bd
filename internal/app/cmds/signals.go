package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// runInstance runs inst until it ends. The first signal, or the end of ctx, starts its
// graceful stop. The second signal closes the listeners; further signals have no
// additional effect. The signals are handled until the end, since their default action
// would interrupt every request.
func runInstance(ctx context.Context, inst instance) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	ended := make(chan struct{})
	defer close(ended)
	go handleSignals(ctx, signals, ended, inst)
	if r, ok := inst.(reloader); ok {
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		defer signal.Stop(hangups)
		go handleReload(hangups, ended, r)
	}
	return inst.Run(context.WithoutCancel(ctx))
}

// reloader is an instance that reloads its settings on SIGHUP. If an instance does
// not implement it, the signal is not handled and ends the process.
type reloader interface {
	Reload()
}

// handleReload reloads the settings on each SIGHUP until ended is closed.
func handleReload(hangups <-chan os.Signal, ended <-chan struct{}, r reloader) {
	for {
		select {
		case <-hangups:
			r.Reload()
		case <-ended:
			return
		}
	}
}

// stopper is the part of an instance that signals control.
type stopper interface {
	Stop()
	CloseListeners()
}

// handleSignals stops s on the first signal or when ctx is done, and closes its listeners
// on each further signal, until ended is closed.
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

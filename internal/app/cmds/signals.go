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
	go heed(ctx, signals, ended, d)
	return d.Run(context.WithoutCancel(ctx))
}

// stopper is what signals act on.
type stopper interface {
	Stop()
	Hurry()
}

func heed(ctx context.Context, signals <-chan os.Signal, ended <-chan struct{}, s stopper) {
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
			s.Hurry()
		case <-ended:
			return
		}
	}
}

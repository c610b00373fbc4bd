package cmds

import (
	"io"

	"fulmarwick/internal/app/lines"
	"fulmarwick/internal/app/setup"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// newBoundedLog returns the logger of an instance on a platform. It writes a bounded
// number of lines to out and never blocks a request. stop flushes the last lines.
func newBoundedLog(s setup.Log, out io.Writer) (log *zap.Logger, stop func(), err error) {
	level, err := zap.ParseAtomicLevel(s.Level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "cmds: log")
	}
	w := &lines.Writer{Out: out, Level: level.Level()}
	return zap.New(w.Core()), w.Close, nil
}

// newLog returns the logger of a process. It writes to standard error.
func newLog(s setup.Log) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	if s.Format == "console" {
		c = zap.NewDevelopmentConfig()
		c.Development = false
	}
	level, err := zap.ParseAtomicLevel(s.Level)
	if err != nil {
		return nil, errors.Wrap(err, "cmds: log")
	}
	c.Level = level
	c.DisableStacktrace = true
	c.DisableCaller = true
	log, err := c.Build()
	if err != nil {
		return nil, errors.Wrap(err, "cmds: log")
	}
	return log, nil
}

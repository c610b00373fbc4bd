package cmds

import (
	"fulmarwick/internal/app/setup"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// newLog returns the log of a process. Lines go to standard error.
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

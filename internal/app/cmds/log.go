package cmds

import (
	"fulmarwick/internal/app/setup"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
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
	c.Sampling = nil
	c.DisableStacktrace = true
	c.DisableCaller = true
	log, err := c.Build(zap.WrapCore(func(core zapcore.Core) zapcore.Core { return shortErrors{core} }))
	if err != nil {
		return nil, errors.Wrap(err, "cmds: log")
	}
	return log, nil
}

// shortErrors writes errors as their texts: the stacks that the errors library
// adds would make most of the log's volume.
type shortErrors struct{ zapcore.Core }

// With adds fields to each line.
func (c shortErrors) With(fields []zapcore.Field) zapcore.Core {
	return shortErrors{c.Core.With(texts(fields))}
}

// Check adds the core to those that write the line.
func (c shortErrors) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write writes one line.
func (c shortErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, texts(fields))
}

func texts(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			fields[i] = zap.String(f.Key, err.Error())
		}
	}
	return fields
}

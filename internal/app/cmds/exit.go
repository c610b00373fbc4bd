package cmds

import (
	"fulmarwick/internal/app/setup"
	"fulmarwick/internal/fakes/drive"
	"fulmarwick/internal/wire/admin"
	"fulmarwick/internal/wire/certs"

	"github.com/go-faster/errors"
)

// Exit codes of the program.
const (
	ExitOK = 0
	// ExitFail is any failure that is none of the others.
	ExitFail = 1
	// ExitUsage is a wrong command line, or settings or documents refused.
	ExitUsage = 2
	// ExitConflict is a change that lost against another one.
	ExitConflict = 3
	// ExitReach is an instance, or the store behind it, out of reach.
	ExitReach = 4
)

// errUsage means that the command line was wrong.
var errUsage = errors.New("wrong usage")

func exitCode(err error) int {
	var conflict *admin.ConflictError
	var refused *admin.RefusedError
	switch {
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &refused), errors.Is(err, errUsage), errors.Is(err, setup.ErrBad), errors.Is(err, drive.ErrWork), errors.Is(err, certs.ErrBad):
		return ExitUsage
	case errors.Is(err, admin.ErrReach), errors.Is(err, admin.ErrDown):
		return ExitReach
	}
	return ExitFail
}

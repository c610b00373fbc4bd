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
	// ExitOK means success.
	ExitOK = 0
	// ExitFail means a failure that no other code covers.
	ExitFail = 1
	// ExitUsage means an invalid command line, or rejected settings or documents.
	ExitUsage = 2
	// ExitConflict means that another operator's change came first.
	ExitConflict = 3
	// ExitReach means that an instance, or the store behind it, is unreachable.
	ExitReach = 4
)

// errUsage means that the command line is invalid.
var errUsage = errors.New("wrong usage")

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var conflict *admin.ConflictError
	var refused *admin.RefusedError
	switch {
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &refused), errors.Is(err, errUsage), errors.Is(err, setup.ErrBad), errors.Is(err, drive.ErrInvalidWorkload), errors.Is(err, certs.ErrBad):
		return ExitUsage
	case errors.Is(err, admin.ErrReach), errors.Is(err, admin.ErrDown):
		return ExitReach
	}
	return ExitFail
}

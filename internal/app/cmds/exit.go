package cmds

import (
	"fulmarwick/internal/app/setup"

	"github.com/go-faster/errors"
)

func exitCode(err error) int {
	if errors.Is(err, setup.ErrBad) {
		return ExitUsage
	}
	return ExitFail
}

package cli

import "fmt"

// ExitCode is the exit status of stoatctl. Scripts tell the codes apart: their numbers do not change.
type ExitCode int

// Exit codes.
const (
	ExitOK       ExitCode = 0
	ExitFailed   ExitCode = 1
	ExitUsage    ExitCode = 2 // wrong arguments, or a file that is wrong
	ExitRejected ExitCode = 3 // by a rule of the fleet, as a minimum or another operator's lease
	ExitPaused   ExitCode = 4 // ended unresolved: the rollout or the exploration can be resumed
)

const exitCodesHelp = `Exit status: 0 done, 1 failed, 2 wrong use or file, 3 refused by a rule of the fleet, 4 paused (ended unresolved).`

// ExitError is an error that ends the program with Code.
type ExitError struct {
	Code ExitCode
	Err  error
}

// Error returns the text of the wrapped error: the code is seen by the exit status alone.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// exitError wraps err with the exit code, and returns nil if err is nil.
func exitError(code ExitCode, err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{Code: code, Err: err}
}

func exitErrorf(code ExitCode, format string, args ...any) error {
	return exitError(code, fmt.Errorf(format, args...))
}

package main

import (
	"errors"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/trust"
	"tarragongauge.example/tarragongauge/pkg/client"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// exitCode is the exit code of the process that runs a command.
type exitCode int

// Exit codes. exitMeanings describes them, and the help topic exit-codes lists
// them for operators.
const (
	exitOK exitCode = iota
	exitFailure
	exitUsage
	exitInvalid
	exitConflict
	exitUnknown
	exitUnreachable
	exitUnauthorized
	exitNotProved
	exitAlert
	exitSettings
	exitCertificate
)

// exitMeanings returns the exit codes and their meanings, in order.
func exitMeanings() []string {
	return []string{
		"done; for silence: proved",
		"another failure",
		"the command line is wrong",
		"the change was refused and is not accepted",
		"the change conflicts with a newer version and is not accepted",
		"the result of the change is unknown; submit it again with the same --change-id",
		"no control host could take the request; a change is not accepted",
		"the token is missing or unknown",
		"the silence of the workspace is not proved",
		"the burn rate is an alert",
		"a settings file has faults",
		"a certificate is not valid or not accepted, or its file has faults",
	}
}

// errExit is an error whose command exits with code.
type errExit struct {
	code  exitCode
	cause error
}

func (e errExit) Error() string { return e.cause.Error() }

func (e errExit) Unwrap() error { return e.cause }

// usageError returns a formatted error with the exit code of a wrong command line.
func usageError(format string, args ...any) error {
	return errExit{code: exitUsage, cause: fmt.Errorf(format, args...)}
}

// exitCodeOf returns the exit code for the error of a command.
func exitCodeOf(err error) exitCode {
	var exit errExit
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return exit.code
	case client.IsErrUnknown(err):
		return exitUnknown
	case client.IsErrConflict(err), model.IsErrConflict(err):
		return exitConflict
	case client.IsErrInvalid(err), model.IsErrInvalid(err), model.IsErrExists(err), model.IsErrNotFound(err), model.IsErrWithdrawn(err):
		return exitInvalid
	case client.IsErrUnauthorized(err):
		return exitUnauthorized
	case trust.IsErrInvalidRequest(err):
		return exitUsage
	case trust.IsCertificateError(err):
		return exitCertificate
	case client.IsErrUnreachable(err):
		return exitUnreachable
	case conf.IsErrSettings(err):
		return exitSettings
	default:
		return exitFailure
	}
}

// exitCodesTopic returns the help topic exit-codes. A cobra command with nothing
// to run is listed as a topic.
func exitCodesTopic() *cobra.Command {
	var b strings.Builder
	for code, meaning := range exitMeanings() {
		fmt.Fprintf(&b, "  %2d  %s\n", code, meaning)
	}
	return &cobra.Command{Use: "exit-codes", Short: "Exit codes of all commands", Long: "Exit codes of all commands:\n\n" + b.String()}
}

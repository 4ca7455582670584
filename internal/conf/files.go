package conf

import (
	"bytes"
	"os"

	"tarragongauge.example/tarragongauge/internal/trust"
)

const (
	// minSecretBytes is the minimum length of a secret without the spaces around it.
	minSecretBytes = 16
	// maxSecretBytes is the maximum size of the file of a secret.
	maxSecretBytes = 4096
	// othersPermissions are the permission bits of accounts other than the owner and its group.
	othersPermissions = 0o007
)

// files checks and reads the files and folders that settings name.
type files struct {
	// skip leaves out all access to the disk, so that settings can be checked on
	// another machine.
	skip bool
	// clock tells the time for the validity of certificates. If nil, time.Now does.
	clock trust.Clock
}

// checkDir stores a path and checks that it names an existing folder.
func (f files) checkDir(to *string, s string) []problem {
	*to = s
	if f.skip {
		return nil
	}
	info, err := os.Stat(s)
	if err != nil {
		return newProblem(s, "%v; create the folder", err)
	}
	if !info.IsDir() {
		return newProblem(s, "not a folder")
	}
	return nil
}

// readSecret reads a secret from the file with the path s.
func (f files) readSecret(to *Secret, s string) []problem {
	if f.skip {
		return nil
	}
	info, err := os.Stat(s)
	if err != nil {
		return newProblem(s, "%v", err)
	}
	if info.Mode().Perm()&othersPermissions != 0 {
		return newProblem(s, "everyone on the host can read or change it; run chmod o= %s", s)
	}
	if info.Size() > maxSecretBytes {
		return newProblem(s, "the file has %d bytes", info.Size())
	}
	data, err := os.ReadFile(s)
	if err != nil {
		return newProblem(s, "%v", err)
	}
	data = bytes.TrimSpace(data)
	if len(data) < minSecretBytes {
		return newProblem(s, "the secret has %d bytes", len(data))
	}
	*to = NewSecret(data)
	return nil
}

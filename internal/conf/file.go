package conf

import (
	"bytes"
	"os"

	"tarragongauge.example/tarragongauge/internal/trust"
)

// Bounds of secrets in files.
const (
	minSecret = 16
	maxSecret = 4096
	// othersMode are the permission bits that let everyone on the host read or change a file.
	othersMode = 0o007
)

// files reads what settings point to. Without files nothing is looked at, so
// that settings can be checked on another machine.
type files struct {
	skip bool
	// clock is time.Now if nil.
	clock trust.Clock
}

func (f files) dir(to *string, s string) []problem {
	*to = s
	if f.skip {
		return nil
	}
	info, err := os.Stat(s)
	if err != nil {
		return wrong(s, "%v; create the folder", err)
	}
	if !info.IsDir() {
		return wrong(s, "not a folder")
	}
	return nil
}

func (f files) secret(to *Secret, s string) []problem {
	if f.skip {
		return nil
	}
	info, err := os.Stat(s)
	if err != nil {
		return wrong(s, "%v", err)
	}
	if info.Mode().Perm()&othersMode != 0 {
		return wrong(s, "everyone on the host can read or change it; run chmod o= %s", s)
	}
	if info.Size() > maxSecret {
		return wrong(s, "the file has %d bytes", info.Size())
	}
	data, err := os.ReadFile(s)
	if err != nil {
		return wrong(s, "%v", err)
	}
	data = bytes.TrimSpace(data)
	if len(data) < minSecret {
		return wrong(s, "the secret has %d bytes", len(data))
	}
	*to = NewSecret(data)
	return nil
}

package admit

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// KeyFault says why presented keys name no workspace.
type KeyFault int

// Faults of presented keys.
const (
	// KeyMissing means that no key was presented.
	KeyMissing KeyFault = iota + 1
	// KeysDiffer means that several keys were presented that are not the same.
	KeysDiffer
	// KeyUnknown means that the key was never issued or was withdrawn.
	KeyUnknown
)

// ErrKey tells that a request presents no usable key. It never contains the key.
type ErrKey struct{ Fault KeyFault }

func (e ErrKey) Error() string {
	switch e.Fault {
	case KeyMissing:
		return "the request has no key; send one as Authorization: Bearer or X-Api-Key"
	case KeysDiffer:
		return "the request has different keys in Authorization and X-Api-Key; send the same key in both or only one"
	default:
		return "the key is unknown or withdrawn; ask an operator for a new one"
	}
}

// IsErrKey reports whether err is or wraps an ErrKey.
func IsErrKey(err error) bool {
	var e ErrKey
	return errors.As(err, &e)
}

// Resolve returns the workspace of a request from all keys it presents: the
// bearer token and the value of X-Api-Key, as often as they occur. Only
// digests are compared, in constant time.
func Resolve(cfg model.Config, presented ...string) (model.WorkspaceID, error) {
	if len(presented) == 0 || presented[0] == "" {
		return "", ErrKey{Fault: KeyMissing}
	}
	hash := keyHash(presented[0])
	for _, other := range presented[1:] {
		h := keyHash(other)
		if subtle.ConstantTimeCompare(h[:], hash[:]) != 1 {
			return "", ErrKey{Fault: KeysDiffer}
		}
	}
	key, ok := cfg.KeyFor(hash)
	if !ok {
		return "", ErrKey{Fault: KeyUnknown}
	}
	return key.Workspace, nil
}

func keyHash(key string) model.KeyHash { return sha256.Sum256([]byte(key)) }

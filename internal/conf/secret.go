package conf

import "slices"

const hidden = "[hidden]"

// Secret is a secret read from a file. Printing or logging it shows only a placeholder.
type Secret struct{ value []byte }

// NewSecret wraps a secret.
func NewSecret(value []byte) Secret { return Secret{value: slices.Clone(value)} }

// Reveal returns the secret itself.
func (s Secret) Reveal() []byte { return slices.Clone(s.value) }

// String returns a placeholder.
func (s Secret) String() string { return hidden }

// GoString returns a placeholder.
func (s Secret) GoString() string { return hidden }

// MarshalText returns a placeholder.
func (s Secret) MarshalText() ([]byte, error) { return []byte(hidden), nil }

package conf

import "slices"

// hiddenText replaces a secret in printed and logged output.
const hiddenText = "[hidden]"

// Secret holds a secret from a file. Printed, logged or marshaled, it shows a
// placeholder instead of its value.
type Secret struct{ value []byte }

// NewSecret returns a Secret with a copy of value.
func NewSecret(value []byte) Secret { return Secret{value: slices.Clone(value)} }

// Reveal returns a copy of the secret's value.
func (s Secret) Reveal() []byte { return slices.Clone(s.value) }

// String returns a placeholder for %v and %s.
func (s Secret) String() string { return hiddenText }

// GoString returns a placeholder for %#v.
func (s Secret) GoString() string { return hiddenText }

// MarshalText returns a placeholder for encoders such as that of JSON.
func (s Secret) MarshalText() ([]byte, error) { return []byte(hiddenText), nil }

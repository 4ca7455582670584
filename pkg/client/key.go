package client

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// keyPrefix begins each key, so that scanners for leaked secrets recognize it.
	keyPrefix     = "tg_"
	keyBytes      = 32
	changeIDBytes = 16
)

// NewKey returns a random secret that a caller presents as its key. Only its
// digest, see HashKey, is sent to the fleet.
func NewKey() (string, error) {
	data := make([]byte, keyBytes)
	if _, err := rand.Read(data); err != nil {
		return "", fmt.Errorf("draw key: %w", err)
	}
	return keyPrefix + base64.RawURLEncoding.EncodeToString(data), nil
}

// HashKey returns the SHA-256 digest of a key, an announcement secret or a token.
func HashKey(key string) model.KeyHash { return sha256.Sum256([]byte(key)) }

// NewChangeID returns a random change id of 128 bits in hexadecimal digits.
func NewChangeID() (model.ChangeID, error) {
	data := make([]byte, changeIDBytes)
	if _, err := rand.Read(data); err != nil {
		return "", fmt.Errorf("draw change id: %w", err)
	}
	return model.ChangeID(hex.EncodeToString(data)), nil
}

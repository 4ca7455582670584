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
	// keyPrefix lets scanners for leaked secrets recognize a key.
	keyPrefix     = "tg_"
	keyBytes      = 32
	changeIDBytes = 16
)

// NewKey creates a caller's key. Only its digest is sent to the fleet.
func NewKey() (string, error) {
	data := make([]byte, keyBytes)
	if _, err := rand.Read(data); err != nil {
		return "", fmt.Errorf("draw key: %w", err)
	}
	return keyPrefix + base64.RawURLEncoding.EncodeToString(data), nil
}

// HashKey returns the digest of a key, an announcement secret or a token.
func HashKey(key string) model.KeyHash { return sha256.Sum256([]byte(key)) }

// NewChangeID draws a change id that was never used.
func NewChangeID() (model.ChangeID, error) {
	data := make([]byte, changeIDBytes)
	if _, err := rand.Read(data); err != nil {
		return "", fmt.Errorf("draw change id: %w", err)
	}
	return model.ChangeID(hex.EncodeToString(data)), nil
}

package kernel

import (
	"crypto/ed25519"
	"encoding/hex"
)

// Key is the Ed25519 key pair that identifies a process. A process has a new key pair after each start.
type Key struct {
	Public  ed25519.PublicKey
	Private ed25519.PrivateKey
}

// KeyFrom derives a key from a seed of 32 bytes.
func KeyFrom(seed []byte) Key {
	private := ed25519.NewKeyFromSeed(seed)
	return Key{Public: private.Public().(ed25519.PublicKey), Private: private}
}

// Fingerprint returns the text that identifies a public key in logs and tables: its first 8 bytes in
// hex, or "" for a shorter key.
func Fingerprint(public []byte) string {
	const size = 8
	if len(public) < size {
		return ""
	}
	return hex.EncodeToString(public[:size])
}

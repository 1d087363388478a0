package lovageshift

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"strings"
)

const (
	keyPrefix   = "ls_"
	hashPrefix  = "sha256:"
	secretBytes = 32 // random bytes of a secret, written as hex digits
)

// ErrKeyMalformed is returned for a secret that is not in the form of NewSecret, and for a hash that is not in the form
// of KeyHash.String.
var ErrKeyMalformed = errors.New("malformed key")

// Key is a key of a client account as it stands in the configuration: with the hash of its secret, not the secret.
type Key struct {
	ID        KeyID     `toml:"-"`
	Account   AccountID `toml:"account"`
	Hash      string    `toml:"hash"`      // as KeyHash.String writes it
	Withdrawn bool      `toml:"withdrawn"` // requests with the key are refused
}

// KeyHash is the SHA-256 hash of a key's secret, including the prefix ls_.
type KeyHash [sha256.Size]byte

// NewSecret returns a random secret for a new key: ls_ and 64 hex digits.
func NewSecret() string {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	return keyPrefix + hex.EncodeToString(secret)
}

// HashSecret returns the hash of a secret. It returns ErrKeyMalformed if the secret is not in the form of NewSecret.
func HashSecret(secret string) (KeyHash, error) {
	if !strings.HasPrefix(secret, keyPrefix) || len(secret) != len(keyPrefix)+2*secretBytes {
		return KeyHash{}, ErrKeyMalformed
	}
	if _, err := hex.DecodeString(secret[len(keyPrefix):]); err != nil {
		return KeyHash{}, ErrKeyMalformed
	}
	return sha256.Sum256([]byte(secret)), nil
}

// String returns the hash as it stands in the configuration: sha256: and 64 hex digits.
func (h KeyHash) String() string { return hashPrefix + hex.EncodeToString(h[:]) }

// Equal reports whether two hashes are the same, in constant time.
func (h KeyHash) Equal(other KeyHash) bool { return subtle.ConstantTimeCompare(h[:], other[:]) == 1 }

// ParseKeyHash parses a hash in the form of KeyHash.String. It returns ErrKeyMalformed for any other text.
func ParseKeyHash(text string) (KeyHash, error) {
	var hash KeyHash
	digits, found := strings.CutPrefix(text, hashPrefix)
	if !found || len(digits) != 2*len(hash) {
		return hash, ErrKeyMalformed
	}
	if _, err := hex.Decode(hash[:], []byte(digits)); err != nil {
		return hash, ErrKeyMalformed
	}
	return hash, nil
}

func (k *Key) validate(config *Config) []Problem {
	var problems []Problem
	path := "keys." + string(k.ID)
	if config.Accounts[k.Account] == nil {
		problems = append(problems, problem(path+".account", "no account %q", k.Account))
	}
	if _, err := ParseKeyHash(k.Hash); err != nil {
		problems = append(problems, problem(path+".hash", "must be sha256: and 64 hex digits"))
	}
	return problems
}

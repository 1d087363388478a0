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
	secretBytes = 32
)

// ErrKeyMalformed is returned for a secret or a hash in a form that the key command never writes.
var ErrKeyMalformed = errors.New("malformed key")

// Key is a key of a client account, published with the hash of its secret instead of the secret.
type Key struct {
	ID        KeyID     `toml:"-"`
	Account   AccountID `toml:"account"`
	Hash      string    `toml:"hash"` // as KeyHash.String writes it
	Withdrawn bool      `toml:"withdrawn"`
}

// KeyHash is the SHA-256 hash of a key's secret.
type KeyHash [sha256.Size]byte

// NewSecret returns a random secret for a client.
func NewSecret() string {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	return keyPrefix + hex.EncodeToString(secret)
}

// HashSecret returns the hash of a secret, or ErrKeyMalformed if the secret is not of the form that NewSecret returns.
func HashSecret(secret string) (KeyHash, error) {
	if !strings.HasPrefix(secret, keyPrefix) || len(secret) != len(keyPrefix)+2*secretBytes {
		return KeyHash{}, ErrKeyMalformed
	}
	if _, err := hex.DecodeString(secret[len(keyPrefix):]); err != nil {
		return KeyHash{}, ErrKeyMalformed
	}
	return sha256.Sum256([]byte(secret)), nil
}

// String returns the hash as it is published: sha256: and 64 hex digits.
func (h KeyHash) String() string { return hashPrefix + hex.EncodeToString(h[:]) }

// Equal compares two hashes in constant time.
func (h KeyHash) Equal(other KeyHash) bool { return subtle.ConstantTimeCompare(h[:], other[:]) == 1 }

// ParseKeyHash parses the form that KeyHash.String returns, or returns ErrKeyMalformed.
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

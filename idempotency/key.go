package idempotency

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"lovageshift"
	"lovageshift/membership"
)

const (
	maxKeyBytes     = 128
	uuidBytes       = 16
	uuidText        = 36
	ulidText        = 26
	ulidTimeText    = 10
	crockfordDigits = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
)

// Key is an Idempotency-Key header of a client account.
type Key struct {
	Account lovageshift.AccountID
	Text    string
}

// Valid reports whether the text is printable ASCII of at most 128 bytes.
func Valid(text string) bool {
	if text == "" || len(text) > maxKeyBytes {
		return false
	}
	return strings.IndexFunc(text, func(r rune) bool { return r < '!' || r > '~' }) < 0
}

// CreatedAt returns the wall time in milliseconds that a UUIDv7 or a ULID carries, and whether the key is one.
func (k Key) CreatedAt() (lovageshift.Millis, bool) {
	switch len(k.Text) {
	case uuidText:
		return uuidTime(k.Text)
	case ulidText:
		return ulidTime(k.Text)
	default:
		return 0, false
	}
}

func uuidTime(text string) (lovageshift.Millis, bool) {
	if text[8] != '-' || text[13] != '-' || text[18] != '-' || text[23] != '-' {
		return 0, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(text, "-", ""))
	if err != nil || len(raw) != uuidBytes || raw[6]>>4 != 7 || raw[8]>>6 != 2 {
		return 0, false
	}
	return lovageshift.Millis(binary.BigEndian.Uint64(raw[:8]) >> 16), true
}

func ulidTime(text string) (lovageshift.Millis, bool) {
	var millis int64
	for i := range ulidText {
		digit := strings.IndexByte(crockfordDigits, upper(text[i]))
		if digit < 0 || (i == 0 && digit > 7) {
			return 0, false
		}
		if i < ulidTimeText {
			millis = millis<<5 | int64(digit)
		}
	}
	return lovageshift.Millis(millis), true
}

func upper(b byte) byte {
	if b >= 'a' && b <= 'z' {
		return b - 'a' + 'A'
	}
	return b
}

// Home returns the target whose agent alone may run the call, out of the service's configured targets.
func (k Key) Home(targets []lovageshift.TargetID) lovageshift.TargetID {
	return membership.Owner("call/"+string(k.Account)+"/"+k.Text, targets)
}

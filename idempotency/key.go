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
	uuidLength      = 36
	ulidLength      = 26
	ulidTimeLength  = 10 // digits of a ULID that hold its time
	crockfordDigits = "0123456789ABCDEFGHJKMNPQRSTVWXYZ"
)

// Key is the value of an Idempotency-Key header together with the client account that sent it.
type Key struct {
	Account lovageshift.AccountID
	Text    string
}

// Valid reports whether the text of an Idempotency-Key header is acceptable: 1 to 128 bytes of printable ASCII without
// spaces.
func Valid(text string) bool {
	if text == "" || len(text) > maxKeyBytes {
		return false
	}
	return strings.IndexFunc(text, func(r rune) bool { return r < '!' || r > '~' }) < 0
}

// CreatedAt returns the creation time that the key contains, in wall-clock milliseconds since the Unix epoch, and true,
// or 0 and false if it contains none. Keys in the form of a UUIDv7 or a ULID contain their creation time.
func (k Key) CreatedAt() (lovageshift.Millis, bool) {
	switch len(k.Text) {
	case uuidLength:
		return uuidTime(k.Text)
	case ulidLength:
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
	for i := range ulidLength {
		digit := strings.IndexByte(crockfordDigits, toUpper(text[i]))
		if digit < 0 || (i == 0 && digit > 7) {
			return 0, false
		}
		if i < ulidTimeLength {
			millis = millis<<5 | int64(digit)
		}
	}
	return lovageshift.Millis(millis), true
}

func toUpper(b byte) byte {
	if b >= 'a' && b <= 'z' {
		return b - 'a' + 'A'
	}
	return b
}

// Home returns the key's home, the only one of a plain service's configured targets whose agent may run calls with the
// key.
func (k Key) Home(targets []lovageshift.TargetID) lovageshift.TargetID {
	return membership.Owner("call/"+string(k.Account)+"/"+k.Text, targets)
}

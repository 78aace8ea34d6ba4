package claims

import (
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"

	"github.com/peridotreel/peridotreel/internal/fault"
)

const (
	// RetryWindow is how long a caller may repeat a call under its key.
	RetryWindow = 24 * time.Hour
	// ClockSkew is the difference allowed between the clocks of a caller and
	// a host, and between those of two hosts.
	ClockSkew = 5 * time.Minute
	// KeepRecords is the age of a key at which its record may be deleted. A
	// key is accepted until RetryWindow+ClockSkew on the clock of any host;
	// two host clocks that are off in opposite directions add 2×ClockSkew.
	KeepRecords = RetryWindow + 3*ClockSkew

	// uuidLength is the length of the usual form, the only one accepted:
	// other forms of one UUID would be other keys.
	uuidLength = 36
	// uuidV7 is the version whose first 48 bits are a time in milliseconds.
	uuidV7 = 7
)

// ValidateKey is a claim.Validator: the key must be a ULID or a UUIDv7 that
// is not older than the retry window.
func ValidateKey(key string, now time.Time) error {
	issued, valid := KeyTime(key)
	if !valid {
		return fault.Refuse(fault.KeyInvalid,
			"the Idempotency-Key of a call that must not run twice must be a ULID or a UUIDv7, whose time tells the key's age")
	}
	if issued.Sub(now) > ClockSkew {
		return fault.Refuse(fault.KeyInvalid,
			"the Idempotency-Key was issued more than %s in the future; set the clock of the caller", ClockSkew)
	}
	// The record of an earlier run may be deleted, so the run state of the
	// call is not known.
	if now.Sub(issued) > RetryWindow+ClockSkew {
		return fault.New(fault.KeyExpired, fault.Unknown,
			"the Idempotency-Key is older than %s and its record may be deleted; find out whether the call ran before sending it with a new key", RetryWindow)
	}
	return nil
}

// KeyTime returns when a key was issued, or false if it tells no time.
func KeyTime(key string) (time.Time, bool) {
	switch len(key) {
	case ulid.EncodedSize:
		id, err := ulid.ParseStrict(key)
		return ulid.Time(id.Time()), err == nil
	case uuidLength:
		id, err := uuid.Parse(key)
		if err != nil || id.Version() != uuidV7 || id.Variant() != uuid.RFC4122 {
			return time.Time{}, false
		}
		var millis int64
		for _, octet := range id[:6] {
			millis = millis<<8 | int64(octet)
		}
		return time.UnixMilli(millis), true
	}
	return time.Time{}, false
}

// Deletable reports whether the record of a key may be deleted. Records whose
// key tells no time were not written by a host and are left alone.
func Deletable(key string, now time.Time) bool {
	issued, valid := KeyTime(key)
	return valid && now.Sub(issued) > KeepRecords
}

// CanonicalKey returns the form under which a key is recorded. Both kinds of
// key are case-insensitive, and a repeat may come in another case.
func CanonicalKey(key string) string {
	return strings.ToLower(key)
}

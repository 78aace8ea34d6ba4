package claims

import (
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"

	"github.com/peridotreel/peridotreel/internal/fault"
)

const (
	// RetryWindow is how long a caller may retry a call with the same key.
	RetryWindow = 24 * time.Hour
	// MaxClockSkew is the difference allowed between the clocks of a caller
	// and a host, and between those of two hosts.
	MaxClockSkew = 5 * time.Minute
	// RecordRetention is the age of a key at which its record may be deleted.
	// Every host accepts a key until RetryWindow+MaxClockSkew on its own
	// clock; two host clocks that are off in opposite directions add
	// 2×MaxClockSkew.
	RecordRetention = RetryWindow + 3*MaxClockSkew

	// uuidLength is the length of the hyphenated form. Only this form is
	// accepted, because another form of the same UUID would be another key.
	uuidLength = 36
	// uuidV7 is the UUID version that starts with a 48-bit Unix time in
	// milliseconds.
	uuidV7 = 7
)

// ValidateKey implements claim.Validator. The key must be a ULID or a UUIDv7
// that is within the retry window.
func ValidateKey(key string, now time.Time) error {
	issued, valid := KeyTime(key)
	if !valid {
		return fault.Refuse(fault.KeyInvalid,
			"the Idempotency-Key of a call that must not run twice must be a ULID or a UUIDv7, whose time tells the key's age")
	}
	if issued.Sub(now) > MaxClockSkew {
		return fault.Refuse(fault.KeyInvalid,
			"the Idempotency-Key was issued more than %s in the future; set the clock of the caller", MaxClockSkew)
	}
	// The record of an earlier run may have been deleted, so the run state is
	// unknown.
	if now.Sub(issued) > RetryWindow+MaxClockSkew {
		return fault.New(fault.KeyExpired, fault.Unknown,
			"the Idempotency-Key is older than %s and its record may be deleted; find out whether the call ran before sending it with a new key", RetryWindow)
	}
	return nil
}

// KeyTime returns the time in a key, or false if the key contains none.
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

// Deletable reports whether the record of a key may be deleted. A record whose
// key contains no time was not written by a host and is kept.
func Deletable(key string, now time.Time) bool {
	issued, valid := KeyTime(key)
	return valid && now.Sub(issued) > RecordRetention
}

// CanonicalKey returns the stored form of a key. ULIDs and UUIDs are
// case-insensitive, and a retry may use another case.
func CanonicalKey(key string) string {
	return strings.ToLower(key)
}

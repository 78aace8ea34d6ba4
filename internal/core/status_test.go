package core_test

import (
	"testing"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Guards against a number outside the statuses of HTTP that reaches a caller as one.
func TestStatusesOutside100To599AreInvalid(t *testing.T) {
	for status, valid := range map[int]bool{-1: false, 0: false, 20: false, 99: false, 100: true, 200: true, 599: true, 600: false, 999: false} {
		if core.ValidStatus(status) != valid {
			t.Errorf("status %d: want valid %t", status, valid)
		}
	}
}

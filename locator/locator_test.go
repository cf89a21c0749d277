package locator_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"damaskspread.example/damaskspread/locator"
)

// Guards against an error text that ends in "<nil>" when the log holds no leader.
func TestNoLeaderErrorText(t *testing.T) {
	assert.Error(t, &locator.NoLeaderError{}, "no scheduling leader found: the log holds none")
	assert.Error(t, &locator.NoLeaderError{Cause: errors.New("log unavailable")}, "no scheduling leader found: log unavailable")
}

package driver

import (
	"testing"

	"github.com/rosemaryloft/rosemaryloft/internal/connection/roundtrip"
)

// Guards against an order or an answer that changes on its way through a driver (issue 52).
func TestMessagesArriveAsTheyWere(t *testing.T) {
	roundtrip.Check(t, batch{}, presence{}, replies{})
}

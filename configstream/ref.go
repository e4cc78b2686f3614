package configstream

import (
	"fmt"

	"mulleinmux/clusterconfig"
)

// Epoch identifies a control service: see [clusterconfig.Epoch].
type Epoch = clusterconfig.Epoch

// Ref identifies a version.
type Ref struct {
	Epoch  Epoch  `json:"epoch"`
	Number uint64 `json:"number"`
	Digest Digest `json:"digest"`
}

// String returns the version number, followed by the epoch's number if there is an epoch.
func (r Ref) String() string {
	if r.Epoch.Number == 0 {
		return fmt.Sprint(r.Number)
	}
	return fmt.Sprintf("%d of epoch %d", r.Number, r.Epoch.Number)
}

// Order is the order of a version relative to another one.
type Order int

// Orders of versions.
const (
	OrderSame     Order = iota
	OrderOlder          // earlier epoch, or lower number in the same epoch
	OrderNewer          // later epoch, or higher number in the same epoch
	OrderDiverged       // none of the other orders: two control services use the same epoch
)

var orderNames = [...]string{"same", "older", "newer", "diverged"}

// String returns the order's name.
func (o Order) String() string { return orderNames[o] }

// Compare returns the order of r relative to other: [OrderOlder] means that r is older than other.
func (r Ref) Compare(other Ref) Order {
	switch {
	case r.Epoch.Number != other.Epoch.Number:
		return compareNumbers(r.Epoch.Number, other.Epoch.Number)
	case r.Epoch.ID != other.Epoch.ID:
		return OrderDiverged
	case r.Number != other.Number:
		return compareNumbers(r.Number, other.Number)
	case r.Digest != other.Digest:
		return OrderDiverged
	}
	return OrderSame
}

// compareNumbers returns the order of two different numbers.
func compareNumbers(a, b uint64) Order {
	if a < b {
		return OrderOlder
	}
	return OrderNewer
}

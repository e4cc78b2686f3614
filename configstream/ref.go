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

// String returns the number, and the epoch if there is one.
func (r Ref) String() string {
	if r.Epoch.Number == 0 {
		return fmt.Sprint(r.Number)
	}
	return fmt.Sprintf("%d of epoch %d", r.Number, r.Epoch.Number)
}

// Order is the order of a version relative to another one.
type Order int

// The orders.
const (
	OrderSame     Order = iota
	OrderOlder          // of an earlier epoch, or with a lower number in the same one
	OrderNewer          // of a later epoch, or with a higher number in the same one
	OrderDiverged       // none of these: two control services use the same epoch
)

var orderNames = [...]string{"same", "older", "newer", "diverged"}

// String returns the order's name.
func (o Order) String() string { return orderNames[o] }

// Compare returns the order of r relative to other: OrderOlder means that r is older.
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

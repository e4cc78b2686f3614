package configstream

import (
	"bytes"
	"encoding/json"

	"mulleinmux/clusterconfig"
)

// forEachDifference calls f for each object that differs between two trees, sorted by key. A nil value means that the
// tree does not contain the object.
func forEachDifference(a, b *clusterconfig.Tree, f func(key []byte, old, current json.RawMessage)) {
	if a == b {
		return
	}
	oldObjects, newObjects := a.Root().Iterator(), b.Root().Iterator()
	oldKey, oldValue, hasOld := oldObjects.Next()
	newKey, newValue, hasNew := newObjects.Next()
	for hasOld || hasNew {
		order := 0
		switch {
		case !hasNew:
			order = -1
		case !hasOld:
			order = 1
		default:
			order = bytes.Compare(oldKey, newKey)
		}
		switch {
		case order < 0:
			f(oldKey, oldValue, nil)
		case order > 0:
			f(newKey, nil, newValue)
		case !isSameValue(oldValue, newValue):
			f(newKey, oldValue, newValue)
		}
		if order <= 0 {
			oldKey, oldValue, hasOld = oldObjects.Next()
		}
		if order >= 0 {
			newKey, newValue, hasNew = newObjects.Next()
		}
	}
}

// isSameValue reports whether two values are equal. It compares their addresses first, since the trees share most
// values.
func isSameValue(a, b json.RawMessage) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0] || bytes.Equal(a, b))
}

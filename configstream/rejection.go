package configstream

import "slices"

// maxRejections limits the rejections that either side retains of a follower, to the latest.
const maxRejections = 16

// Problem is why a version is rejected: the object and field at fault, if known, and what is wrong with them.
type Problem struct {
	Object string `json:"object,omitempty"`
	Field  string `json:"field,omitempty"`
	Text   string `json:"text"`
}

// String returns the problem in the form "object: field: text".
func (p Problem) String() string {
	text := p.Text
	if p.Field != "" {
		text = p.Field + ": " + text
	}
	if p.Object != "" {
		text = p.Object + ": " + text
	}
	return text
}

// Rejection is a version that a follower has rejected, and why.
type Rejection struct {
	Ref
	Problems            []Problem `json:"problems"`
	IsUnsupportedFormat bool      `json:"unread,omitempty"` // a newer program may accept it
}

// appendRejection returns a copy of the list with r at its end, which replaces any of the same version.
func appendRejection(list []Rejection, r Rejection) []Rejection {
	list = slices.DeleteFunc(slices.Clone(list), func(o Rejection) bool { return o.Ref == r.Ref })
	list = append(list, r)
	return list[max(len(list)-maxRejections, 0):]
}

// newestRejection returns the rejection of the newest version; nil: there is none.
func newestRejection(list []Rejection) (newest *Rejection) {
	for i := range list {
		if newest == nil || list[i].Compare(newest.Ref) == OrderNewer {
			newest = &list[i]
		}
	}
	return newest
}

// findRejection returns the rejection of a version; nil: there is none.
func findRejection(list []Rejection, ref Ref) *Rejection {
	i := slices.IndexFunc(list, func(r Rejection) bool { return r.Ref == ref })
	if i < 0 {
		return nil
	}
	return &list[i]
}

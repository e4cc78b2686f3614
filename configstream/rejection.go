package configstream

import "slices"

// maxRejections is the number of latest rejections that the follower and the member each retain of a follower.
const maxRejections = 16

// Problem is a reason for which a version is rejected: the invalid object and field, if known, and what is wrong with
// them.
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

// Rejection is a version that a follower has rejected, with the problems found.
type Rejection struct {
	Ref
	Problems            []Problem `json:"problems"`
	IsUnsupportedFormat bool      `json:"unread,omitempty"` // a newer program may accept it
}

// appendRejection returns a copy of the list with r at its end, without an earlier rejection of the same version. Only
// the latest maxRejections are kept.
func appendRejection(list []Rejection, r Rejection) []Rejection {
	list = slices.DeleteFunc(slices.Clone(list), func(o Rejection) bool { return o.Ref == r.Ref })
	list = append(list, r)
	return list[max(len(list)-maxRejections, 0):]
}

// newestRejection returns the rejection of the newest version, or nil if the list is empty.
func newestRejection(list []Rejection) (newest *Rejection) {
	for i := range list {
		if newest == nil || list[i].Compare(newest.Ref) == OrderNewer {
			newest = &list[i]
		}
	}
	return newest
}

// findRejection returns the rejection of a version, or nil if there is none.
func findRejection(list []Rejection, ref Ref) *Rejection {
	i := slices.IndexFunc(list, func(r Rejection) bool { return r.Ref == ref })
	if i < 0 {
		return nil
	}
	return &list[i]
}

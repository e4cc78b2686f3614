package routing

// Header gives the header fields of a request.
type Header interface {
	// Values returns the first value of a field and the number of its lines. Names know
	// no case.
	Values(name string) (first string, lines int)
	// Resembles reports whether a field stands under a name that a server could take for
	// this one, such as X_Units for X-Units.
	Resembles(name string) bool
}

// Request is the part of a request on which its units can depend.
type Request struct {
	Query  string // raw, without '?'
	Header Header
	Body   []byte
}

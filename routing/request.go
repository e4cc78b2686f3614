package routing

// Header is the header of a request.
type Header interface {
	// Values returns the first value of a field and the number of its lines. Names are case-insensitive.
	Values(name string) (first string, lines int)
	// Resembles reports whether there is a field whose name a server could mistake for this one, such as X_Units for
	// X-Units.
	Resembles(name string) bool
}

// Request is the part of a request on which its units and key can depend.
type Request struct {
	Query  string // raw, without '?'
	Header Header
	Body   []byte
}
